/**
 * The stored state of the cluster: a controller's {@linkplain garnetscale.core.state.StateReplica replica} of the state
 * service's contents, the {@linkplain garnetscale.core.state.WorkLog work log} that placements and finished sets are stored in,
 * and the stored form of every record.
 *
 * <p>A replica is owned by the event loop of its controller. Only the event loop loads and advances the replica; other code
 * only reads it. This package neither decides what to store nor sends anything: a change is a {@linkplain
 * garnetscale.core.state.Transaction transaction} that the caller commits, and it appears in the replica once a listing or a
 * watch returns it. The package has no I/O and reads no clock.
 */
package garnetscale.core.state;

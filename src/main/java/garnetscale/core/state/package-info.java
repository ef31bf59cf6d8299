/**
 * The stored state of the cluster: a controller's {@linkplain garnetscale.core.state.StateReplica replica} of the key-value
 * store, the {@linkplain garnetscale.core.state.WorkLog work log} that placements and finished sets are stored in, and the
 * stored form of every record.
 *
 * <p>A replica is owned by the event loop of its controller, which alone loads and advances it; everybody else only reads it.
 * Nothing here decides what is to be stored, and nothing sends: a change is a {@linkplain
 * garnetscale.core.state.Transaction transaction} that the caller commits, and it shows in the replica once a listing or a
 * watch brings it back. The package has no I/O and reads no clock.
 */
package garnetscale.core.state;

/**
 * The leader's part: electing it, leasing partitions to controllers, placing tasks with the best bids, and stopping them to make
 * room or to leave a machine.
 *
 * <p>{@link garnetscale.core.leader.Leader} owns the state of this package, all of it in memory and rebuilt under each new term;
 * what must outlast the leader goes through a {@link garnetscale.core.state.Transaction}, guarded by the leader's key.
 * {@link garnetscale.core.leader.LeaderContext} is what its parts share. One thread calls it; it sends, waits for and reads
 * nothing, and frees no placement without proof that its attempt has ended.
 */
package garnetscale.core.leader;

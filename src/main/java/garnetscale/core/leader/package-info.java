/**
 * The leader: its election, the leasing of partitions to controllers, the placement of tasks with the best bids, and the
 * stopping of tasks to make room or to drain machines.
 *
 * <p>{@link garnetscale.core.leader.Leader} owns the state of this package. All of it is in memory and rebuilt under each new
 * term; what must outlast the leader goes through a {@link garnetscale.core.state.Transaction}, guarded by the leader key.
 * {@link garnetscale.core.leader.LeaderContext} is what the parts of the leader share. The package is called by one thread. It
 * does no I/O and never blocks, and it frees no placement without proof that the placement's attempt has ended.
 */
package garnetscale.core.leader;

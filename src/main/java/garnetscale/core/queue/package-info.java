/**
 * The order of waiting jobs and which of them a machine may run. Partition owners, the leader, the balancer and the autoscaler
 * all decide by the same order (DESIGN; paper, DSP step 2).
 *
 * <p>The package keeps no queue: an order is made anew from the replica whenever it is needed. {@link
 * garnetscale.core.queue.ScarceTypeFilter} alone has state, which belongs to its creator. Nothing in here changes a job.
 */
package garnetscale.core.queue;

/**
 * The order of waiting jobs, and which of them a machine may run. Partition owners, the leader, the balancer and the autoscaler
 * all use the same order (DESIGN; paper, DSP step 2).
 *
 * <p>The package keeps no queue: jobs are sorted from the replica whenever the order is needed. Only {@link
 * garnetscale.core.queue.ScarceTypeFilter} has state, which belongs to the object that created it. Nothing in this package
 * changes a job.
 */
package garnetscale.core.queue;

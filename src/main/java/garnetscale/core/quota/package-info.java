/**
 * Quotas: how much each team uses, and whether one more task stays within its limit or its guarantee.
 *
 * <p>A {@link garnetscale.core.quota.QuotaUsage} is computed from the replica's placements wherever it is needed, and belongs to
 * the object that computed it. This package stores nothing, and decides neither which job comes first nor which task is
 * preempted.
 */
package garnetscale.core.quota;

/**
 * Quotas: how much each team uses, and whether one more task stays within its limit or its guarantee.
 *
 * <p>{@link garnetscale.core.quota.QuotaUsage} is counted anew from the replica's placements wherever it is needed, and belongs to
 * who counted it. This package stores nothing, and decides neither which job comes first nor which task is preempted.
 */
package garnetscale.core.quota;

package garnetscale.core.cluster;

/**
 * The ownership of a partition. The lease has no duration: it is valid as long as the owner's session lease. The leader may
 * assign the partition to another owner at any time by raising the term.
 *
 * @param owner the name of the controller that owns the partition
 * @param incarnation the id of the session lease of the owner's process, so that a restarted process counts as another owner
 * @param term the partition term, which only increases; made by {@link FencingTokens#partitionTerm}
 */
public record PartitionLease(String owner, long incarnation, long term) {}

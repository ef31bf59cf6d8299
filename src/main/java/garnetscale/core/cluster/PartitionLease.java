package garnetscale.core.cluster;

/**
 * Who owns a partition. The lease has no length of its own: it lasts while the owner's state lease does, and the leader may
 * give the partition to another owner at any time by raising the term.
 *
 * @param owner the name of the controller that owns it
 * @param incarnation the state lease of the owner's process, so that a process that was started again is another owner
 * @param term only rises; made by {@link FencingTokens#partitionTerm}
 */
public record PartitionLease(String owner, long incarnation, long term) {}

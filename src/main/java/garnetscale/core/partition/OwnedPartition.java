package garnetscale.core.partition;

/**
 * A partition that this process owns.
 *
 * @param term the term of its lease
 * @param since when this process first saw that it owns the partition under this term
 */
record OwnedPartition(long term, long since) {}

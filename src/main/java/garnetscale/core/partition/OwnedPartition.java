package garnetscale.core.partition;

/**
 * A partition that this process owns.
 *
 * @param term the term of the partition's lease
 * @param since when this process first saw that it owns the partition under this term, in milliseconds of the steady clock
 */
record OwnedPartition(long term, long since) {}

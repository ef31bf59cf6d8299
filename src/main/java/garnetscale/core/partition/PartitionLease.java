package garnetscale.core.partition;

/**
 * Who commands a block of machines. A holder is a node name and the incarnation of its process: the state
 * lease that the process lives by, so that a process started again is another holder.
 */
public record PartitionLease(String owner, long incarnation, long term) {}

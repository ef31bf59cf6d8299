package garnetscale.core.block;

/**
 * Who commands a block of machines. A holder is a node name and the incarnation of its process: the state
 * lease that the process lives by, so that a process started again is another holder.
 */
public record BlockLease(String holder, long incarnation, long term) {}

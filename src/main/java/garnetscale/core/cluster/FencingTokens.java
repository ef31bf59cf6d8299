package garnetscale.core.cluster;

/**
 * How terms nest in one integer that only rises. Leader terms come from the stored counter, partition terms are numbered
 * inside a leader's term, and fencing tokens inside a partition's term, so that the partition's owner can raise a worker's
 * token by itself. Attempts are numbered inside a leader's term too, which makes each of them unique.
 */
public final class FencingTokens {

    private static final int PARTITION_BITS = 20;
    private static final int TOKEN_BITS = 20;
    private static final int ATTEMPT_BITS = 24;
    /** The highest sequence number of an attempt in one leader's term. */
    public static final int MAX_ATTEMPTS = (1 << ATTEMPT_BITS) - 1;
    /** The highest sequence number of a partition term in one leader's term. */
    public static final int MAX_PARTITION_TERMS = (1 << PARTITION_BITS) - 1;

    private FencingTokens() {}

    /** The partition term with the given number, at most {@link #MAX_PARTITION_TERMS}, in a leader's term. */
    public static long partitionTerm(long leaderTerm, int sequence) {
        return (leaderTerm << PARTITION_BITS) + sequence;
    }

    /** The lowest fencing token of a partition term; higher than any of an earlier term. */
    public static long firstToken(long partitionTerm) {
        return partitionTerm << TOKEN_BITS;
    }

    /** The partition term that a fencing token belongs to. */
    public static long partitionTermOf(long fencingToken) {
        return fencingToken >> TOKEN_BITS;
    }

    /** Whether two tokens are of one partition term; the token above a term's last one is of the next term. */
    public static boolean sameTerm(long fencingToken, long other) {
        return partitionTermOf(fencingToken) == partitionTermOf(other);
    }

    /** The attempt with the given number, at most {@link #MAX_ATTEMPTS}, in a leader's term. */
    public static long attempt(long leaderTerm, int sequence) {
        return (leaderTerm << ATTEMPT_BITS) + sequence;
    }
}

package garnetscale.core.cluster;

/**
 * Encodes nested terms in one monotonically increasing integer. Leader terms come from the stored counter. Partition terms are
 * numbered within a leader's term, and fencing tokens within a partition's term, so that the partition's owner can raise a
 * worker's token without the leader. Attempts are also numbered within a leader's term, which makes each attempt id unique.
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

    /** Returns the partition term with a sequence number, at most {@link #MAX_PARTITION_TERMS}, in a leader's term. */
    public static long partitionTerm(long leaderTerm, int sequence) {
        return (leaderTerm << PARTITION_BITS) + sequence;
    }

    /** Returns the lowest fencing token of a partition term, which is higher than any token of an earlier term. */
    public static long firstToken(long partitionTerm) {
        return partitionTerm << TOKEN_BITS;
    }

    /** Returns the partition term that a fencing token belongs to. */
    public static long partitionTermOf(long fencingToken) {
        return fencingToken >> TOKEN_BITS;
    }

    /** Returns whether two tokens belong to the same partition term; a term's last token plus one belongs to the next term. */
    public static boolean sameTerm(long fencingToken, long other) {
        return partitionTermOf(fencingToken) == partitionTermOf(other);
    }

    /** Returns the id of the attempt with a sequence number, at most {@link #MAX_ATTEMPTS}, in a leader's term. */
    public static long attempt(long leaderTerm, int sequence) {
        return (leaderTerm << ATTEMPT_BITS) + sequence;
    }
}

package garnetscale.core.partition;

/**
 * How terms nest in one integer that only rises: leader terms come from the stored counter, block terms are
 * numbered inside a leader's term, and tokens inside a block's term, so that a holder can raise a worker's
 * token by itself. Attempts are numbered inside a leader's term too, which makes each of them unique.
 */
public final class FencingTokens {

    private static final int PARTITION_BITS = 20;
    private static final int TOKEN_BITS = 20;
    private static final int ATTEMPT_BITS = 24;
    /** Attempts that one leader's term has numbers for. */
    public static final int MAX_ATTEMPTS = (1 << ATTEMPT_BITS) - 1;
    /** Block terms that one leader's term has numbers for. */
    public static final int MAX_PARTITION_TERMS = (1 << PARTITION_BITS) - 1;

    private FencingTokens() {}

    public static long partitionTerm(long leaderTerm, int sequence) {
        return (leaderTerm << PARTITION_BITS) + sequence;
    }

    public static long firstToken(long partitionTerm) {
        return partitionTerm << TOKEN_BITS;
    }

    public static long partitionTermOf(long fencingToken) {
        return fencingToken >> TOKEN_BITS;
    }

    /** False when the first token is already outside the term of the second: a term's tokens can be used up. */
    static boolean sameTerm(long fencingToken, long other) {
        return partitionTermOf(fencingToken) == partitionTermOf(other);
    }

    public static long attempt(long leaderTerm, int sequence) {
        return (leaderTerm << ATTEMPT_BITS) + sequence;
    }
}

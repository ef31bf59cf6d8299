package garnetscale.core.block;

/**
 * How terms nest in one integer that only rises: leader terms come from the stored counter, block terms are
 * numbered inside a leader's term, and tokens inside a block's term, so that a holder can raise a worker's
 * token by itself. Attempts are numbered inside a leader's term too, which makes each of them unique.
 */
public final class Terms {

    private static final int BLOCK_BITS = 20;
    private static final int TOKEN_BITS = 20;
    private static final int ATTEMPT_BITS = 24;
    /** Attempts that one leader's term has numbers for. */
    public static final int MOST_ATTEMPTS = (1 << ATTEMPT_BITS) - 1;
    /** Block terms that one leader's term has numbers for. */
    public static final int MOST_BLOCK_TERMS = (1 << BLOCK_BITS) - 1;

    private Terms() {}

    public static long blockTerm(long leaderTerm, int sequence) {
        return (leaderTerm << BLOCK_BITS) + sequence;
    }

    public static long firstToken(long blockTerm) {
        return blockTerm << TOKEN_BITS;
    }

    public static long blockTermOf(long token) {
        return token >> TOKEN_BITS;
    }

    /** False when the first token is already outside the term of the second: a term's tokens can be used up. */
    static boolean sameTerm(long token, long other) {
        return blockTermOf(token) == blockTermOf(other);
    }

    public static long attempt(long leaderTerm, int sequence) {
        return (leaderTerm << ATTEMPT_BITS) + sequence;
    }
}

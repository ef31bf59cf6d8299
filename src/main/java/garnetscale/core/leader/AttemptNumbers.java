package garnetscale.core.leader;

import garnetscale.core.cluster.FencingTokens;

/**
 * Numbers the attempts that a leader places, within its term. Once the numbers of a term are exhausted, the leader must step
 * down, because the next number would belong to the following term and be assigned twice.
 */
final class AttemptNumbers {

    /** Numbers that are left when the leader should step down: more than any one transaction places. */
    private static final int RESERVED_NUMBERS = 1 << 16;

    private long term;
    private int sequence;

    /** Begins a term. */
    void beginTerm(long newTerm) {
        beginTerm(newTerm, 0);
    }

    /** Begins a term in which numbers up to {@code lastSequence} have been assigned. */
    void beginTerm(long newTerm, int lastSequence) {
        term = newTerm;
        sequence = lastSequence;
    }

    /**
     * Returns the number of the next attempt, which is higher than all before.
     *
     * @throws IllegalStateException if the numbers of the term are exhausted
     */
    long next() {
        if (sequence >= FencingTokens.MAX_ATTEMPTS) {
            throw new IllegalStateException(
                    "attempt numbers of the term are exhausted, term=" + term + " max=" + FencingTokens.MAX_ATTEMPTS);
        }
        return FencingTokens.attempt(term, ++sequence);
    }

    /** Returns whether the leader should step down because few numbers are left. */
    boolean isNearlyExhausted() {
        return sequence >= FencingTokens.MAX_ATTEMPTS - RESERVED_NUMBERS;
    }
}

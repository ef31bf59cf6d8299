package garnetscale.core.leader;

import garnetscale.core.cluster.FencingTokens;

/**
 * Numbers the attempts that a leader places. They are numbered inside its term; once those of a term are used up the leader
 * has to step down, since the next number would belong to the term after it and be given twice.
 */
final class AttemptNumbers {

    /** Numbers that are left when it is time to step down: more than any one transaction places. */
    private static final int RESERVED = 1 << 16;

    private long term;
    private int sequence;

    /** Begins a term. */
    void begin(long newTerm) {
        begin(newTerm, 0);
    }

    /** Begins behind the number that was given last in a term. */
    void begin(long newTerm, int lastSequence) {
        term = newTerm;
        sequence = lastSequence;
    }

    /**
     * The number of the next attempt, higher than all before.
     *
     * @throws IllegalStateException when the term's numbers are used up
     */
    long next() {
        if (sequence >= FencingTokens.MAX_ATTEMPTS) {
            throw new IllegalStateException(
                    "can't number another attempt: the numbers of the term are used up, term=" + term);
        }
        return FencingTokens.attempt(term, ++sequence);
    }

    /** Whether it is time to step down. */
    boolean isNearlyExhausted() {
        return sequence >= FencingTokens.MAX_ATTEMPTS - RESERVED;
    }
}

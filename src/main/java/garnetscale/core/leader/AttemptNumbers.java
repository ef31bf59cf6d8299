package garnetscale.core.leader;

import garnetscale.core.partition.FencingTokens;

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

    /** Begins behind a number of a term. */
    void begin(long newTerm, int last) {
        term = newTerm;
        sequence = last;
    }

    long next() {
        if (sequence >= FencingTokens.MAX_ATTEMPTS) {
            throw new IllegalStateException("the attempts of term " + term + " are used up");
        }
        return FencingTokens.attempt(term, ++sequence);
    }

    /** How many were given in this term. */
    int given() {
        return sequence;
    }

    boolean isNearlyUsedUp() {
        return sequence >= FencingTokens.MAX_ATTEMPTS - RESERVED;
    }
}

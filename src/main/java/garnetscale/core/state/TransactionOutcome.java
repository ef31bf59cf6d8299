package garnetscale.core.state;

/** How a transaction ended. MAYBE: it may have been applied, or may still be. REFUSED: it surely never will be. */
public enum TransactionOutcome {
    OK,
    CONFLICT,
    NO_LEASE,
    REFUSED,
    MAYBE
}

package garnetscale.core.state;

/** How a transaction ended, as far as the sender knows. */
public enum TransactionOutcome {
    /** It was applied. */
    OK,
    /** A guard failed, so that it was not applied. */
    CONFLICT,
    /** A lease that it names has expired, so that it was not applied. */
    NO_LEASE,
    /** It was not applied and never will be: it wasn't sent, or the service refused it for its limits. */
    REFUSED,
    /** There was no answer: it may have been applied, or may still be. */
    MAYBE
}

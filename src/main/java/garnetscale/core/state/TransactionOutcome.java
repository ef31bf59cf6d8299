package garnetscale.core.state;

/** The outcome of a transaction, as far as the sender knows. */
public enum TransactionOutcome {
    /** It was applied. */
    OK,
    /** It was not applied because a guard failed. */
    CONFLICT,
    /** It was not applied because a lease that it uses has expired. */
    NO_LEASE,
    /** It was not applied and never will be: it wasn't sent, or the service rejected it for exceeding a limit. */
    REFUSED,
    /** There was no response: it may have been applied, or may still be applied later. */
    UNKNOWN
}

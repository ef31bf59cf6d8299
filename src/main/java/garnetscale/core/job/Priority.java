package garnetscale.core.job;

/** How urgent a job is; the order of the constants is the order in the queue, most urgent first. */
public enum Priority {
    CRITICAL,
    HIGH,
    NORMAL,
    LOW
}

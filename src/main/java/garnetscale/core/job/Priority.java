package garnetscale.core.job;

/** The priority of a job. Constants are in queue order, most urgent first. */
public enum Priority {
    CRITICAL,
    HIGH,
    NORMAL,
    LOW
}

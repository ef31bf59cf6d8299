package garnetscale.core.job;

/** What a job's record says of it. The two terminal states exclude each other: both are written over LIVE only. */
public enum JobState {
    LIVE,
    DONE,
    CANCELLED;

    public boolean isTerminal() {
        return this != LIVE;
    }
}

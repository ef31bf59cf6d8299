package garnetscale.core.job;

/** The state of a job. The two terminal states exclude each other: either is only written over LIVE. */
public enum JobState {
    LIVE,
    DONE,
    CANCELLED;

    /** Whether the state is final. */
    public boolean isTerminal() {
        return this != LIVE;
    }
}

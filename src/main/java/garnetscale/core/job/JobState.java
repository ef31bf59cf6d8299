package garnetscale.core.job;

/** The state of a job. The two terminal states are mutually exclusive: each is written only over LIVE. */
public enum JobState {
    LIVE,
    DONE,
    CANCELLED;

    /** Returns whether the state is final. */
    public boolean isTerminal() {
        return this != LIVE;
    }
}

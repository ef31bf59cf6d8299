package garnetscale.core.machine;

/** State of a task on its machine. */
public enum TaskState {
    FETCHING,
    RUNNING,
    CHECKPOINTING,
    EXITED,
    UNKNOWN
}

package garnetscale.core.machine;

/** State of a task on its machine (PROTOCOL, POST /hello). */
public enum TaskState {
    /** It waits for its image. */
    FETCHING,
    /** It runs. */
    RUNNING,
    /** It was told to stop and writes a checkpoint first. */
    CHECKPOINTING,
    /** It has ended; see {@link ExitCause}. */
    EXITED,
    /** A state that this version doesn't know. */
    UNKNOWN
}

package garnetscale.core.machine;

/** State of a task on its machine (PROTOCOL, POST /hello). */
public enum TaskState {
    /** The task waits for its image. */
    FETCHING,
    /** The task runs. */
    RUNNING,
    /** The task received a stop and writes a checkpoint before it exits. */
    CHECKPOINTING,
    /** The task has ended; see {@link ExitCause}. */
    EXITED,
    /** A state that this version doesn't know. */
    UNKNOWN
}

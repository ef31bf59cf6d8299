package garnetscale.core.machine;

/** Why a task exited. */
public enum ExitCause {
    DONE,
    STOPPED,
    ERROR,
    NO_ROOM,
    BUSY,
    UNKNOWN_TASK,
    OTHER
}

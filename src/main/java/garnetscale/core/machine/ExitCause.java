package garnetscale.core.machine;

/** Why a task exited, or its start was refused (PROTOCOL, POST /hello). */
public enum ExitCause {
    /** It completed; its result is kept. */
    DONE,
    /** It was stopped by command. */
    STOPPED,
    /** It failed: mostly the machine is faulty, or its job fails everywhere. */
    ERROR,
    /** Its start was refused for lack of free capacity. */
    NO_ROOM,
    /** Its start was refused because another attempt of the task is on the machine. */
    BUSY,
    /** Its start was refused because the worker found no such job or task. */
    UNKNOWN_TASK,
    /** A cause that this version doesn't know. */
    OTHER
}

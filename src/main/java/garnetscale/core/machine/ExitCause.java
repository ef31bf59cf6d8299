package garnetscale.core.machine;

/** Why a task exited, or why its start was rejected (PROTOCOL, POST /hello). */
public enum ExitCause {
    /** The task completed; its result is kept. */
    DONE,
    /** The task was stopped by a command. */
    STOPPED,
    /** The task failed. Usually the machine is faulty, or the job fails on every machine. */
    ERROR,
    /** The start was rejected for lack of free capacity. */
    NO_ROOM,
    /** The start was rejected because another attempt of the task is on the machine. */
    BUSY,
    /** The start was rejected because the worker found no such job or task. */
    UNKNOWN_TASK,
    /** A cause that this version doesn't know. */
    OTHER
}

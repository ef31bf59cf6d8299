package garnetscale.core.machine;

import garnetscale.core.job.TaskId;

/** A command to a worker, always for one attempt of one task. */
public sealed interface Order {

    TaskId task();

    long attempt();

    record Start(TaskId task, long attempt) implements Order {}

    /** Stops a task; it may save first if {@code graceS} covers the time its job names for that. */
    record Stop(TaskId task, long attempt, double graceS) implements Order {}

    /** Makes the worker forget an exited attempt. After it, a repeated start would start the attempt again. */
    record Clear(TaskId task, long attempt) implements Order {}
}

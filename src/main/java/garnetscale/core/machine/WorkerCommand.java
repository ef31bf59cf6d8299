package garnetscale.core.machine;

import garnetscale.core.job.TaskId;

/** A command to a worker, always for one attempt of one task. */
public sealed interface WorkerCommand {

    TaskId task();

    long attempt();

    /** Starts a task; without effect where the attempt is known already. */
    record Start(TaskId task, long attempt) implements WorkerCommand {}

    /** Stops a task; it may save first if {@code graceS} covers the time its job names for that. */
    record Stop(TaskId task, long attempt, double graceS) implements WorkerCommand {}

    /** Makes the worker forget an exited attempt. After it, a repeated start would start the attempt again. */
    record Clear(TaskId task, long attempt) implements WorkerCommand {}
}

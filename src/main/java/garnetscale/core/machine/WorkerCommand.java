package garnetscale.core.machine;

import garnetscale.core.job.TaskId;

/** A command to a worker, always for one attempt of one task. All but {@link Clear} are idempotent. */
public sealed interface WorkerCommand {

    /** The task that it is for. */
    TaskId task();

    /** The attempt that it is for. */
    long attempt();

    /** Starts a task; without effect where the worker knows the attempt already. */
    record Start(TaskId task, long attempt) implements WorkerCommand {}

    /**
     * Stops a task.
     *
     * @param graceS seconds for a graceful stop: the task writes a checkpoint first if they cover the time that its job
     *     names for that; 0 stops it at once
     */
    record Stop(TaskId task, long attempt, double graceS) implements WorkerCommand {}

    /** Makes the worker forget an exited attempt. After it, a late copy of the start would start the attempt again. */
    record Clear(TaskId task, long attempt) implements WorkerCommand {}
}

package garnetscale.core.machine;

import garnetscale.core.job.TaskId;

/** A command to a worker, always for one attempt of one task. All commands except {@link Clear} are idempotent. */
public sealed interface WorkerCommand {

    /** Returns the task that the command is for. */
    TaskId task();

    /** Returns the attempt that the command is for. */
    long attempt();

    /** Starts a task. Has no effect if the worker already knows the attempt. */
    record Start(TaskId task, long attempt) implements WorkerCommand {}

    /**
     * Stops a task.
     *
     * @param graceS time for a graceful stop, in seconds: the task writes a checkpoint first if this time covers the
     *     checkpoint write time that its job declares; 0 stops the task at once
     */
    record Stop(TaskId task, long attempt, double graceS) implements WorkerCommand {}

    /**
     * Makes the worker forget an exited attempt. A late copy of the start that arrives afterwards would start the attempt
     * again.
     */
    record Clear(TaskId task, long attempt) implements WorkerCommand {}
}

package garnetscale.core.machine;

import garnetscale.core.job.TaskId;

/**
 * The status of one task in a worker's heartbeat.
 *
 * @param task the task
 * @param attempt the attempt of the task, unique among all attempts of all tasks
 * @param state the task's state
 * @param cause why the task exited; null until then
 * @param checkpointed whether the task's progress was saved when it was stopped
 */
public record TaskStatus(TaskId task, long attempt, TaskState state, ExitCause cause, boolean checkpointed) {

    /** Whether the task has ended, or its start was rejected. */
    public boolean exited() {
        return state == TaskState.EXITED;
    }

    /** Explicit because it is on the hot path; see {@link garnetscale.core}. */
    @Override
    public boolean equals(Object object) {
        return object instanceof TaskStatus other
                && attempt == other.attempt
                && state == other.state
                && cause == other.cause
                && checkpointed == other.checkpointed
                && task.equals(other.task);
    }

    @Override
    public int hashCode() {
        return Long.hashCode(attempt);
    }
}

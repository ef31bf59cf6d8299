package garnetscale.core.machine;

import garnetscale.core.job.TaskId;

/** One task of a worker's report; {@code cause} is null until the task has exited. */
public record TaskStatus(TaskId task, long attempt, TaskState state, ExitCause cause, boolean checkpointed) {

    public boolean exited() {
        return state == TaskState.EXITED;
    }

    /** Explicit because it is on the hot path; see the package documentation of {@code garnetscale.core}. */
    @Override
    public boolean equals(Object o) {
        return o instanceof TaskStatus other
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

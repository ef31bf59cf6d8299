package garnetscale.core.machine;

import garnetscale.core.job.TaskId;

/** One task of a worker's report; {@code cause} is null until the task has exited. */
public record ReportedTask(TaskId task, long attempt, TaskState state, ExitCause cause, boolean saved) {

    public boolean exited() {
        return state == TaskState.EXITED;
    }
}

package garnetscale.core.balance;

import garnetscale.core.job.JobSpec;
import garnetscale.core.job.TaskId;

/**
 * A placed task that isn't being stopped, as a candidate for a move.
 *
 * @param remainingS estimated seconds until the task completes on its current machine
 * @param checkpointedS seconds of the run that are in a checkpoint and needn't be repeated elsewhere
 * @param stopS seconds from the decision to stop the task until its resources are free
 * @param movable whether the task may be moved
 */
public record RunningTask(
        TaskId task,
        long attempt,
        JobSpec job,
        double remainingS,
        double checkpointedS,
        double stopS,
        boolean movable) {}

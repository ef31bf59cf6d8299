package garnetscale.core.balance;

import garnetscale.core.job.JobSpec;
import garnetscale.core.job.TaskId;

/**
 * A placed task that isn't being stopped, as a candidate for a move.
 *
 * @param remainingS seconds until it completes where it runs
 * @param checkpointedS seconds of its run that it needn't repeat elsewhere, by its checkpoint
 * @param stopS      seconds from the decision to stop it until its resources are free
 * @param movable    whether it may be moved at all
 */
public record RunningTask(
        TaskId task,
        long attempt,
        JobSpec job,
        double remainingS,
        double checkpointedS,
        double stopS,
        boolean movable) {}

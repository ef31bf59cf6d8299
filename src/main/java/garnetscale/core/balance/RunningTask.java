package garnetscale.core.balance;

import garnetscale.core.job.JobSpec;
import garnetscale.core.job.TaskId;

/**
 * A placed task that isn't being stopped.
 *
 * @param remainingS seconds that it will still take where it is
 * @param savedS     seconds of its run that it needn't repeat elsewhere
 * @param stopS      seconds from the decision to stop it until its room is free
 * @param movable    whether it may be moved at all
 */
public record RunningTask(
        TaskId task, long attempt, JobSpec job, double remainingS, double savedS, double stopS, boolean movable) {}

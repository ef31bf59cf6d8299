package garnetscale.core.balance;

import garnetscale.core.job.JobSpec;

/** A job that finds no room; {@code tasks} of it wait. */
public record WaitingJob(JobSpec job, int tasks) {}

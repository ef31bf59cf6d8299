package garnetscale.core.balance;

import garnetscale.core.job.JobSpec;

/** A job that finds no room; {@code tasks} of it wait, each of which is expected to run for {@code runS} seconds. */
public record WaitingJob(JobSpec job, int tasks, double runS) {}

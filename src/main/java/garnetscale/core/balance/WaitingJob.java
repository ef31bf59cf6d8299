package garnetscale.core.balance;

import garnetscale.core.job.JobSpec;

/** A job that doesn't fit anywhere, with {@code tasks} waiting tasks of an estimated run time of {@code runS} seconds each. */
public record WaitingJob(JobSpec job, int tasks, double runS) {}

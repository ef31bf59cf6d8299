package garnetscale.core.balance;

import garnetscale.core.job.JobSpec;

/** A job that doesn't fit anywhere: {@code tasks} tasks wait, each with an estimated run time of {@code runS} seconds. */
public record WaitingJob(JobSpec job, int tasks, double runS) {}

package garnetscale.core.job;

/**
 * A job as the state service keeps it.
 *
 * @param submittedMs time of day of its acceptance, for aging across restarts; within the bound of the
 *                    settings only, so nothing that the rules need hangs on it
 */
public record JobRecord(JobSpec spec, JobState state, long submittedMs) {

    public JobRecord withState(JobState next) {
        return new JobRecord(spec, next, submittedMs);
    }
}

package garnetscale.core.job;

/**
 * A job as the state service stores it.
 *
 * @param submittedMs time of day of its acceptance in milliseconds, for aging across failovers. Clocks of controllers differ
 *                    within the bound of the settings, so that no safety rule depends on it.
 */
public record JobRecord(JobSpec spec, JobState state, long submittedMs) {

    /** The same job in another state. */
    public JobRecord withState(JobState next) {
        return new JobRecord(spec, next, submittedMs);
    }
}

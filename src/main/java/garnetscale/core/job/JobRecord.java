package garnetscale.core.job;

/**
 * A job as the state service holds it.
 *
 * @param submittedMs wall-clock time of the job's acceptance in milliseconds, used for aging across failovers. Controllers'
 *     clocks may differ, within a bound from the settings, so no safety rule depends on this time.
 */
public record JobRecord(JobSpec spec, JobState state, long submittedMs) {

    /** Returns the same job in another state. */
    public JobRecord withState(JobState next) {
        return new JobRecord(spec, next, submittedMs);
    }
}

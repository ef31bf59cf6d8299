package garnetscale.core.queue;

import com.google.common.collect.Multiset;
import garnetscale.core.job.JobSpec;

/**
 * The zone constraints of a job with several tasks: affinity puts all of its tasks in one zone; anti-affinity puts at most half of
 * them, rounded up, in any one zone. Only tasks that are placed now count.
 */
public final class ZoneConstraints {

    private ZoneConstraints() {}

    /** Returns whether the zones of a job's placed tasks restrict where further tasks may be placed. */
    public static boolean applyTo(JobSpec job) {
        return job.zoneAffinity() || job.zoneAntiAffinity();
    }

    /**
     * Returns whether another task of the job may be placed in a zone.
     *
     * @param placed the zones of the job's placed tasks, one entry per task
     */
    public static boolean allowAnother(JobSpec job, Multiset<String> placed, String zone) {
        int inSameZone = placed.count(zone);
        if (job.zoneAffinity() && placed.size() != inSameZone) {
            return false;
        }
        return !job.zoneAntiAffinity() || inSameZone + 1 <= (job.tasks() + 1) / 2;
    }
}

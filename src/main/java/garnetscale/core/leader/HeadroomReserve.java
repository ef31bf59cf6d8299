package garnetscale.core.leader;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.job.JobSpec;
import garnetscale.core.job.Priority;
import garnetscale.core.state.JobView;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Room that is kept for classes which must start almost at once. A waiting objective shorter than two reports
 * can't be met by room that has yet to come free, so less urgent work leaves as much free as such jobs usually
 * take when they come. Work that has itself waited for long isn't held back any more.
 */
final class HeadroomReserve {

    private static final double GAIN = 0.1;
    /** What comes is averaged over this time. */
    private static final double RATE_S = 30;
    /** The most that is kept, as a share of what the fleet has. */
    private static final double MOST = 0.15;

    private final Map<String, Double> tight = new HashMap<>();
    private final Map<String, Double> patience = new HashMap<>();
    private final Map<String, Double> sizes = new HashMap<>();
    private final Set<String> seen = new HashSet<>();
    private Priority lowest = Priority.CRITICAL;
    /** What the tight classes ask for, and how long it takes to get back what others borrow: three reports. */
    private double cpusPerS;

    private final double aheadS;
    private long observedAt = Long.MIN_VALUE;

    HeadroomReserve(SchedulerConfig config) {
        aheadS = 3 * config.heartbeatIntervalMs() / 1000.0;
        for (SchedulerConfig.ServiceLevelObjective o : config.objectives()) {
            if (o.kind() == SchedulerConfig.ObjectiveKind.START
                    && o.withinS() * 1000 <= 2 * config.heartbeatIntervalMs()) {
                tight.put(o.jobClass(), o.withinS());
            } else if (o.kind() == SchedulerConfig.ObjectiveKind.COMPLETION) {
                patience.merge(o.jobClass(), o.withinS() / 6, Math::min);
            }
        }
    }

    /** Learns how large jobs of the tight classes are, and how many come. */
    void observe(long now, Iterable<JobView> jobs) {
        double came = 0;
        Set<String> present = new HashSet<>();
        for (JobView j : jobs) {
            JobSpec s = j.spec();
            if (tight.containsKey(s.jobClass())) {
                present.add(s.id());
                if (seen.add(s.id())) {
                    double size = s.tasks() * s.cpus();
                    came += size;
                    sizes.merge(s.jobClass(), size, (old, last) -> old + GAIN * (last - old));
                    if (s.priority().compareTo(lowest) > 0) {
                        lowest = s.priority();
                    }
                }
            }
        }
        seen.retainAll(present);
        double passedS = observedAt == Long.MIN_VALUE ? 0 : (now - observedAt) / 1000.0;
        observedAt = now;
        cpusPerS = (cpusPerS + came / RATE_S) * Math.exp(-passedS / RATE_S);
    }

    /**
     * CPUs to leave free for the tight classes, of so many that the fleet has. Work that a team borrows room for leaves
     * more: it may fill any fleet, and what is stopped for others has yet to save.
     */
    double cpus(double fleet, boolean borrowed) {
        if (borrowed) {
            return Math.min(MOST * fleet, Math.max(sum(), cpusPerS * aheadS));
        }
        return Math.min(MOST * fleet, sum());
    }

    private double sum() {
        double sum = 0;
        for (double s : sizes.values()) {
            sum += s;
        }
        return sum;
    }

    /** Whether the job's class must start at once. */
    boolean isTight(JobView job) {
        return tight.containsKey(job.spec().jobClass());
    }

    /**
     * Whether the job has to leave the reserve alone. What is borrowed has to for however long it waits, once it has begun:
     * a job of which nothing has begun would otherwise never begin on a full fleet.
     */
    boolean binds(JobView job, boolean borrowed, long wallMs) {
        JobSpec s = job.spec();
        return !tight.containsKey(s.jobClass())
                && s.priority().compareTo(lowest) > 0
                && (borrowed && job.placedCount() + job.finishedCount() > 0
                        || wallMs - job.job().submittedMs() < 1000 * patience.getOrDefault(s.jobClass(), 30.0));
    }
}

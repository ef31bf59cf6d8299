package garnetscale.core.leader;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.Times;
import garnetscale.core.job.JobSpec;
import garnetscale.core.job.Priority;
import garnetscale.core.state.JobView;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Room that is kept for urgent classes of jobs, which must start almost at once. A waiting objective shorter than two heartbeat
 * intervals can't be met by room that has yet to come free, so less urgent work leaves as much free as such jobs usually take when
 * they come. Work that has itself waited for long isn't held back any more.
 */
final class HeadroomReserve {

    /** Weight of a new job in the average size of its class's jobs. */
    private static final double SIZE_GAIN = 0.1;
    /** The rate at which jobs come is averaged over this time. */
    private static final double RATE_WINDOW_S = 30;
    /** The most that is kept, as a share of what the fleet has. */
    private static final double MAX_SHARE = 0.15;
    /** A class is urgent when its waiting objective is no longer than so many heartbeat intervals. */
    private static final long URGENT_INTERVALS = 2;
    /** How long it takes to get back what others borrow, in heartbeat intervals. */
    private static final long RECLAIM_INTERVALS = 3;
    /** The part of its objective for being finished after which a job isn't held back any more. */
    private static final double PATIENCE_PARTS = 6;
    /** The same in seconds, for a class without such an objective. */
    private static final double DEFAULT_PATIENCE_S = 30.0;

    private final Set<String> urgentClasses = new HashSet<>();
    private final Map<String, Double> patienceS = new HashMap<>();
    /** The average size of a job in CPUs, by urgent class. */
    private final Map<String, Double> jobCpus = new HashMap<>();

    private final Set<String> seenJobs = new HashSet<>();
    /** The lowest priority that was seen of a job of an urgent class. */
    private Priority lowestUrgent = Priority.CRITICAL;
    /** CPUs that jobs of the urgent classes ask for in a second. */
    private double urgentCpusPerS;

    private final double reclaimS;
    private long observedAt = Times.NEVER;

    HeadroomReserve(SchedulerConfig config) {
        reclaimS = RECLAIM_INTERVALS * config.heartbeatIntervalMs() / 1000.0;
        for (SchedulerConfig.ServiceLevelObjective objective : config.objectives()) {
            if (objective.kind() == SchedulerConfig.ObjectiveKind.START
                    && objective.withinS() * 1000 <= URGENT_INTERVALS * config.heartbeatIntervalMs()) {
                urgentClasses.add(objective.jobClass());
            } else if (objective.kind() == SchedulerConfig.ObjectiveKind.COMPLETION) {
                patienceS.merge(objective.jobClass(), objective.withinS() / PATIENCE_PARTS, Math::min);
            }
        }
    }

    /** Learns how large jobs of the urgent classes are, and how many come. */
    void observe(long now, Iterable<JobView> jobs) {
        double newCpus = 0;
        Set<String> present = new HashSet<>();
        for (JobView job : jobs) {
            JobSpec spec = job.spec();
            if (urgentClasses.contains(spec.jobClass())) {
                present.add(spec.id());
                if (seenJobs.add(spec.id())) {
                    newCpus += learn(spec);
                }
            }
        }
        seenJobs.retainAll(present);
        double passedS = observedAt == Times.NEVER ? 0 : (now - observedAt) / 1000.0;
        observedAt = now;
        urgentCpusPerS = (urgentCpusPerS + newCpus / RATE_WINDOW_S) * Math.exp(-passedS / RATE_WINDOW_S);
    }

    /** Takes a new job into account, and returns its CPUs. */
    private double learn(JobSpec job) {
        double cpus = job.tasks() * job.cpus();
        jobCpus.merge(job.jobClass(), cpus, (average, last) -> average + SIZE_GAIN * (last - average));
        if (job.priority().compareTo(lowestUrgent) > 0) {
            lowestUrgent = job.priority();
        }
        return cpus;
    }

    /**
     * CPUs to leave free for the urgent classes, of {@code fleetCpus} that the fleet has. Work that a team borrows room for leaves
     * more: it may fill any fleet, and what is stopped for others has yet to write its checkpoint.
     */
    double cpus(double fleetCpus, boolean borrows) {
        double usual = usualJobCpus();
        double wanted = borrows ? Math.max(usual, urgentCpusPerS * reclaimS) : usual;
        return Math.min(MAX_SHARE * fleetCpus, wanted);
    }

    /** CPUs of one job of each urgent class. */
    private double usualJobCpus() {
        double sum = 0;
        for (double cpus : jobCpus.values()) {
            sum += cpus;
        }
        return sum;
    }

    /** Whether the job's class must start at once. */
    boolean isUrgent(JobView job) {
        return urgentClasses.contains(job.spec().jobClass());
    }

    /**
     * Whether the job has to leave the reserve alone. Work that its team borrows room for has to for however long it waits, once
     * it has begun: a job of which nothing has begun would otherwise never begin on a full fleet.
     */
    boolean binds(JobView job, boolean borrows, long wallMs) {
        JobSpec spec = job.spec();
        boolean hasBegun = job.placedCount() + job.finishedCount() > 0;
        return !isUrgent(job)
                && spec.priority().compareTo(lowestUrgent) > 0
                && (borrows && hasBegun
                        || wallMs - job.job().submittedMs()
                                < 1000 * patienceS.getOrDefault(spec.jobClass(), DEFAULT_PATIENCE_S));
    }
}

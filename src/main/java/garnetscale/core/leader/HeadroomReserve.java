package garnetscale.core.leader;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.Times;
import garnetscale.core.job.JobSpec;
import garnetscale.core.job.Priority;
import garnetscale.core.queue.IdleJobs;
import garnetscale.core.state.JobView;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Computes the CPUs that are kept free for urgent classes of jobs, which must start almost at once. An objective for the
 * waiting time of at most two heartbeat intervals can't be met with room that has yet to come free. Less urgent jobs therefore
 * leave as much free as arriving urgent jobs usually take. The reserve fades: a class of which no job has arrived for a while
 * reserves nothing. Most jobs that have themselves waited for long are no longer held back; see {@link #appliesTo}, and {@link
 * #isOverdue} for the others.
 */
final class HeadroomReserve {

    /** Weight of a new job in the moving average of its class's job size. */
    private static final double SIZE_SMOOTHING = 0.1;
    /** Time constant of the moving average of the rate at which jobs arrive. */
    private static final double RATE_WINDOW_S = 30;
    /** Maximum reserve, as a share of the fleet's CPUs. */
    private static final double MAX_SHARE = 0.15;
    /** A class is urgent if its objective for the waiting time is at most this many heartbeat intervals. */
    private static final long URGENT_INTERVALS = 2;
    /** Time that it takes to get back borrowed room, in heartbeat intervals. */
    private static final long RECLAIM_INTERVALS = 3;
    /** A class of which no job has arrived for this time reserves nothing. */
    private static final long MAX_ARRIVAL_GAP_MS = 60_000;
    /** A job is held back for at most its class's objective for the completion time, divided by this. */
    private static final double HOLD_BACK_DIVISOR = 6;
    /** Maximum time for which a job is held back if its class has no such objective. */
    private static final double DEFAULT_MAX_HOLD_BACK_S = 30.0;
    /** Upper bound of the time for which a job is held back since its submission. */
    private static final double MAX_HOLD_BACK_S = Times.MAX_HOLD_BACK_MS / 1000.0;

    private final Set<String> urgentClasses = new HashSet<>();
    /** Maximum seconds for which a job is held back, by class, for classes with an objective for the completion time. */
    private final Map<String, Double> maxHoldBackS = new HashMap<>();
    /** Moving average of the size of a job in CPUs, by urgent class. */
    private final Map<String, Double> jobCpus = new HashMap<>();
    /** When a job of each urgent class last arrived. */
    private final Map<String, Long> lastArrivalAt = new HashMap<>();

    private final IdleJobs idleJobs = new IdleJobs();
    /** Stored jobs of urgent classes that have been added to the averages. */
    private final Set<String> seenJobs = new HashSet<>();
    /** Lowest priority seen of a job of an urgent class. */
    private Priority lowestUrgent = Priority.CRITICAL;
    /** Moving average of the CPUs that newly arriving jobs of the urgent classes request per second. */
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
                maxHoldBackS.merge(
                        objective.jobClass(),
                        Math.min(MAX_HOLD_BACK_S, objective.withinS() / HOLD_BACK_DIVISOR),
                        Math::min);
            }
        }
    }

    /** Updates the idle jobs, and the averages of the size and the arrival rate of jobs of the urgent classes. */
    void observe(long now, Iterable<JobView> jobs) {
        idleJobs.observe(now, jobs);
        double newCpus = 0;
        Set<String> present = new HashSet<>();
        for (JobView job : jobs) {
            JobSpec spec = job.spec();
            if (urgentClasses.contains(spec.jobClass())) {
                present.add(spec.id());
                if (seenJobs.add(spec.id())) {
                    newCpus += addJob(spec);
                    lastArrivalAt.put(spec.jobClass(), now);
                }
            }
        }
        seenJobs.retainAll(present);
        lastArrivalAt.values().removeIf(arrivedAt -> now - arrivedAt > MAX_ARRIVAL_GAP_MS);
        jobCpus.keySet().retainAll(lastArrivalAt.keySet());
        double passedS = observedAt == Times.NEVER ? 0 : (now - observedAt) / 1000.0;
        observedAt = now;
        urgentCpusPerS = (urgentCpusPerS + newCpus / RATE_WINDOW_S) * Math.exp(-passedS / RATE_WINDOW_S);
    }

    /** Adds a new job to the averages, and returns its CPUs. */
    private double addJob(JobSpec job) {
        double cpus = job.tasks() * job.cpus();
        jobCpus.merge(job.jobClass(), cpus, (average, last) -> average + SIZE_SMOOTHING * (last - average));
        if (job.priority().compareTo(lowestUrgent) > 0) {
            lowestUrgent = job.priority();
        }
        return cpus;
    }

    /**
     * Returns the CPUs to leave free for the urgent classes. Jobs that borrow must leave more: they can fill a fleet of any
     * size, and tasks that are stopped for others must write their checkpoints first.
     *
     * @param fleetCpus CPUs of the fleet
     * @param borrows   whether the job that leaves them free is of low priority and not within a guarantee of its team
     */
    double cpus(double fleetCpus, boolean borrows) {
        double usual = usualJobCpus();
        double wanted = borrows ? Math.max(usual, urgentCpusPerS * reclaimS) : usual;
        return Math.min(MAX_SHARE * fleetCpus, wanted);
    }

    /** Returns the sum of the CPUs of one average job of each urgent class. */
    private double usualJobCpus() {
        double sum = 0;
        for (double cpus : jobCpus.values()) {
            sum += cpus;
        }
        return sum;
    }

    /** Returns whether the job is of an urgent class. */
    boolean isUrgent(JobView job) {
        return urgentClasses.contains(job.spec().jobClass());
    }

    /**
     * Returns whether the job must leave the reserve free. The reserve applies only to jobs of lower priority than every job seen
     * of an urgent class, and only until a job has waited for its class's limit. That limit doesn't end it for a job that borrows
     * and has begun: such a job must leave the reserve free until it {@link #isOverdue}. For a job that has not begun, the limit
     * always ends the reserve, because it would otherwise never begin on a full fleet.
     *
     * @param borrows whether the job is of low priority and not within a guarantee of its team
     * @param wallMs  wall-clock time in milliseconds since the Unix epoch
     */
    boolean appliesTo(JobView job, boolean borrows, long wallMs) {
        JobSpec spec = job.spec();
        boolean hasBegun = job.placedCount() + job.finishedCount() > 0;
        return !isUrgent(job)
                && spec.priority().compareTo(lowestUrgent) > 0
                && (borrows && hasBegun
                        || wallMs - job.job().submittedMs()
                                < 1000 * maxHoldBackS.getOrDefault(spec.jobClass(), DEFAULT_MAX_HOLD_BACK_S));
    }

    /**
     * Returns whether the job has had no placed task for so long that it may place one in the reserve. One task is enough for the
     * job to go on, and takes little of the reserve from urgent jobs.
     */
    boolean isOverdue(long now, JobView job) {
        return idleJobs.isOverdue(now, job.spec().id());
    }
}

package garnetscale.core.queue;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.Times;
import garnetscale.core.job.JobSpec;
import garnetscale.core.job.Priority;
import garnetscale.core.machine.MachineType;
import garnetscale.core.state.JobView;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Keeps scarce machine types for the jobs that can run nowhere else. In plain queue order, an urgent small job takes the capacity
 * of a large machine although a small machine would do, and a large job behind it, which fits no other type, waits until the
 * small job ends. So a machine doesn't bid for a job while another waiting job fits only some of the types that the first job
 * fits, and may run on this very machine as things stand: its type, its zone, spot instance or not, and where the other job's
 * tasks are placed. A machine that yields to a job which can't run on it would stand empty.
 *
 * <p>A job yields in this way only until its start objective is in danger; then every machine may bid for it again. The exception
 * is a job that has started and is less urgent than the waiting one: it yields as long as the other waits. Otherwise a job of the
 * lowest priority with hundreds of long tasks would fill all machines of the type. But once it has had no placed task for {@link
 * Times#MAX_HOLD_BACK_MS}, machines may bid for one of its tasks in spite of that; see {@link #isOverdue}.
 *
 * <p>No job yields to a quarantined job, which fails on every machine and waits until its user cancels it.
 */
public final class ScarceTypeFilter {

    /** A job yields scarce types for this share of the time in its start objective. */
    private static final double YIELD_SHARE = 0.5;
    /** Seconds for which a job without a start objective yields scarce types. */
    private static final double DEFAULT_YIELD_S = 10;
    /** Upper bound of the seconds for which a job yields scarce types. */
    private static final double MAX_YIELD_S = Times.MAX_HOLD_BACK_MS / 1000.0;

    /** The machines that some of the waiting jobs may run on. */
    private static final class Demand {
        /** The types that the jobs fit. */
        private final Set<String> types;
        /** The zones in which another task may be placed now. */
        private final Set<String> zones;
        /** Whether spot instances may run the jobs. */
        private final boolean spot;

        private Priority mostUrgent = Priority.LOW;

        private Demand(Set<String> types, Set<String> zones, boolean spot) {
            this.types = types;
            this.zones = zones;
            this.spot = spot;
        }

        private boolean allows(MachineType type, String zone, boolean isSpot) {
            return types.contains(type.name()) && zones.contains(zone) && (spot || !isSpot);
        }
    }

    private final Map<String, Double> yieldSByClass = new HashMap<>();
    private final Map<String, Set<String>> fittingTypesByJob = new HashMap<>();
    private final IdleJobs idleJobs = new IdleJobs();
    /** The distinct demands of the waiting jobs. There are few, no matter how many jobs wait. */
    private final Map<List<Object>, Demand> demands = new HashMap<>();

    /** Creates a filter without waiting jobs for the start objectives of the configuration. */
    public ScarceTypeFilter(SchedulerConfig config) {
        for (SchedulerConfig.ServiceLevelObjective objective : config.objectives()) {
            if (objective.kind() == SchedulerConfig.ObjectiveKind.START) {
                yieldSByClass.merge(
                        objective.jobClass(), Math.min(MAX_YIELD_S, YIELD_SHARE * objective.withinS()), Math::min);
            }
        }
    }

    /**
     * Replaces the waiting jobs that {@link #mayBid} considers.
     *
     * @param placedZones the zones of these jobs' placed tasks
     * @param quarantinedJobs ids of the quarantined jobs, to which no other job yields
     * @param nowMs wall-clock time in milliseconds
     */
    public void refresh(
            List<MachineType> types,
            List<JobView> waiting,
            PlacedZones placedZones,
            Set<String> quarantinedJobs,
            long nowMs) {
        idleJobs.observe(nowMs, waiting);
        fittingTypesByJob.clear();
        demands.clear();
        Set<String> zones = new TreeSet<>();
        types.forEach(type -> zones.addAll(type.zones()));
        for (JobView job : waiting) {
            JobSpec spec = job.spec();
            Set<String> fitting = fittingTypes(types, spec);
            Set<String> allowed = allowedZones(spec, zones, placedZones);
            fittingTypesByJob.put(spec.id(), fitting);
            if (quarantinedJobs.contains(spec.id())) {
                continue;
            }
            Demand demand = demands.computeIfAbsent(
                    List.of(fitting, allowed, spec.spot()), key -> new Demand(fitting, allowed, spec.spot()));
            if (spec.priority().compareTo(demand.mostUrgent) < 0) {
                demand.mostUrgent = spec.priority();
            }
        }
    }

    private static Set<String> fittingTypes(List<MachineType> types, JobSpec spec) {
        Set<String> fitting = new HashSet<>();
        for (MachineType type : types) {
            if (type.fits(spec)) {
                fitting.add(type.name());
            }
        }
        return fitting;
    }

    /** Returns the zones in which another task of the job may be placed now. */
    private static Set<String> allowedZones(JobSpec spec, Set<String> zones, PlacedZones placedZones) {
        if (spec.zone() == null && !placedZones.restrict(spec)) {
            return zones;
        }
        Set<String> allowed = new TreeSet<>();
        for (String zone : zones) {
            if (spec.allowsZone(zone) && placedZones.allowAnother(spec, zone)) {
                allowed.add(zone);
            }
        }
        return allowed;
    }

    /**
     * Returns whether the job has had no placed task for so long that machines may bid for one of its tasks although {@link #mayBid}
     * doesn't allow it.
     *
     * @param nowMs wall-clock time in milliseconds
     */
    public boolean isOverdue(JobView job, long nowMs) {
        return idleJobs.isOverdue(nowMs, job.spec().id());
    }

    /**
     * Returns whether a machine may bid for the job, that is, whether the job needn't yield the machine to a waiting job that fits
     * only some of the job's types. Always true for a job that wasn't among the waiting jobs at the last {@link #refresh}.
     *
     * @param type the machine's type
     * @param zone the machine's zone
     * @param isSpot whether the machine is a spot instance
     * @param nowMs wall-clock time in milliseconds
     */
    public boolean mayBid(JobView job, MachineType type, String zone, boolean isSpot, long nowMs) {
        JobSpec spec = job.spec();
        Set<String> fitting = fittingTypesByJob.get(spec.id());
        if (fitting == null) {
            return true;
        }
        double yieldS = yieldSByClass.getOrDefault(spec.jobClass(), DEFAULT_YIELD_S);
        boolean isYielding = nowMs - job.job().submittedMs() <= 1000 * yieldS;
        boolean hasStarted = job.placedCount() + job.finishedCount() > 0;
        for (Demand other : demands.values()) {
            if (other.types.size() < fitting.size()
                    && other.allows(type, zone, isSpot)
                    && fitting.containsAll(other.types)
                    && (isYielding || hasStarted && other.mostUrgent.compareTo(spec.priority()) < 0)) {
                return false;
            }
        }
        return true;
    }
}

package garnetscale.core.queue;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.job.JobSpec;
import garnetscale.core.job.Priority;
import garnetscale.core.machine.MachineType;
import garnetscale.core.state.JobView;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Keeps scarce machine types for the jobs that can run nowhere else. By the plain order an urgent small job takes the capacity
 * of a large machine although small ones would do, and a large job behind it, which fits no other type, waits for it to end.
 * So a machine doesn't bid for a job that has the choice while one that hasn't waits for its type; a job whose waiting
 * objective is in danger has every machine again. Only a job that has started and is less urgent than the waiting one yields
 * the type for as long as that waits: idle work of hundreds of long tasks would fill all of it.
 */
public final class ScarceTypeFilter {

    /** The share of its waiting objective for which a job yields scarce types to others. */
    private static final double YIELD_SHARE = 0.5;
    /** How long a job without a waiting objective yields them. */
    private static final double DEFAULT_YIELD_S = 10;

    private final Map<String, Double> yieldSByClass = new HashMap<>();
    private final Map<String, Set<String>> fittingTypesByJob = new HashMap<>();
    /** The different sets of types that waiting jobs fit, with the most urgent priority of each: few, however many wait. */
    private final Map<Set<String>, Priority> mostUrgentByTypes = new HashMap<>();

    /** Takes the waiting objectives from the configuration. */
    public ScarceTypeFilter(SchedulerConfig config) {
        for (SchedulerConfig.ServiceLevelObjective objective : config.objectives()) {
            if (objective.kind() == SchedulerConfig.ObjectiveKind.START) {
                yieldSByClass.merge(objective.jobClass(), YIELD_SHARE * objective.withinS(), Math::min);
            }
        }
    }

    /** Replaces the waiting jobs that {@link #mayBid} goes by. */
    public void refresh(List<MachineType> types, List<JobView> waiting) {
        fittingTypesByJob.clear();
        mostUrgentByTypes.clear();
        for (JobView job : waiting) {
            Set<String> fitting = new HashSet<>();
            for (MachineType type : types) {
                if (type.fits(job.spec())) {
                    fitting.add(type.name());
                }
            }
            fittingTypesByJob.put(job.spec().id(), fitting);
            mostUrgentByTypes.merge(fitting, job.spec().priority(), (a, b) -> a.compareTo(b) < 0 ? a : b);
        }
    }

    /**
     * Whether a machine of the type may bid for the job, with {@code nowMs} as time of day: no waiting job that must have it
     * has less choice. Always true for a job that wasn't among the waiting ones.
     */
    public boolean mayBid(JobView job, MachineType type, long nowMs) {
        JobSpec spec = job.spec();
        Set<String> fitting = fittingTypesByJob.get(spec.id());
        if (fitting == null) {
            return true;
        }
        double yieldS = yieldSByClass.getOrDefault(spec.jobClass(), DEFAULT_YIELD_S);
        boolean isYielding = nowMs - job.job().submittedMs() <= 1000 * yieldS;
        boolean hasStarted = job.placedCount() + job.finishedCount() > 0;
        for (Map.Entry<Set<String>, Priority> entry : mostUrgentByTypes.entrySet()) {
            Set<String> others = entry.getKey();
            if (others.size() < fitting.size()
                    && others.contains(type.name())
                    && fitting.containsAll(others)
                    && (isYielding || hasStarted && entry.getValue().compareTo(spec.priority()) < 0)) {
                return false;
            }
        }
        return true;
    }
}

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
 * Keeps scarce machine types for the jobs that can run nowhere else. In plain queue order, an urgent small job takes the capacity
 * of a large machine although a small machine would do, and a large job behind it, which fits no other type, waits until the
 * small job ends. So a machine doesn't bid for a job while another waiting job fits only some of the types that the first job
 * fits, the machine's type among them.
 *
 * <p>A job yields in this way only until its start objective is in danger; then every machine may bid for it again. The exception
 * is a job that has started and is less urgent than the waiting one: it yields as long as the other waits. Otherwise a job of the
 * lowest priority with hundreds of long tasks would fill all machines of the type.
 */
public final class ScarceTypeFilter {

    /** A job yields scarce types for this share of the time in its start objective. */
    private static final double YIELD_SHARE = 0.5;
    /** Seconds for which a job without a start objective yields scarce types. */
    private static final double DEFAULT_YIELD_S = 10;

    private final Map<String, Double> yieldSByClass = new HashMap<>();
    private final Map<String, Set<String>> fittingTypesByJob = new HashMap<>();
    /**
     * The distinct sets of types that waiting jobs fit, with the most urgent priority of each. There are few sets, no matter how
     * many jobs wait.
     */
    private final Map<Set<String>, Priority> mostUrgentByTypes = new HashMap<>();

    /** Creates a filter without waiting jobs for the start objectives of the configuration. */
    public ScarceTypeFilter(SchedulerConfig config) {
        for (SchedulerConfig.ServiceLevelObjective objective : config.objectives()) {
            if (objective.kind() == SchedulerConfig.ObjectiveKind.START) {
                yieldSByClass.merge(objective.jobClass(), YIELD_SHARE * objective.withinS(), Math::min);
            }
        }
    }

    /** Replaces the waiting jobs that {@link #mayBid} considers. */
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
     * Returns whether a machine of the type may bid for the job, that is, whether the job needn't yield the type to a waiting job
     * that fits only some of the job's types. Always true for a job that wasn't among the waiting jobs at the last {@link
     * #refresh}.
     *
     * @param nowMs wall-clock time in milliseconds
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
            Set<String> otherFitting = entry.getKey();
            if (otherFitting.size() < fitting.size()
                    && otherFitting.contains(type.name())
                    && fitting.containsAll(otherFitting)
                    && (isYielding || hasStarted && entry.getValue().compareTo(spec.priority()) < 0)) {
                return false;
            }
        }
        return true;
    }
}

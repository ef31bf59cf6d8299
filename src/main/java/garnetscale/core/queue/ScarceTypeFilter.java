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
 * Keeps scarce types for those who can run nowhere else. By the plain rule an urgent small job takes the room of
 * a large machine although small ones would do, and a large job behind it, which fits no other type, waits for
 * it to end. So a machine doesn't bid for a job that has the choice while one that hasn't waits for its type; a
 * job whose waiting objective is in danger has every machine again. Only what has begun and is less urgent than the one
 * that waits leaves it the type for as long as it waits: idle work of hundreds of long tasks would fill all of it.
 */
public final class ScarceTypeFilter {

    /** The part of its waiting objective for which a job leaves scarce types to others. */
    private static final double PATIENCE = 0.5;

    private static final double DEFAULT_S = 10;

    private final Map<String, Double> patienceS = new HashMap<>();
    private final Map<String, Set<String>> typesOf = new HashMap<>();
    /** The different sets of types that jobs are bound to, with the most urgent of those: few, however many wait. */
    private final Map<Set<String>, Priority> bound = new HashMap<>();

    public ScarceTypeFilter(SchedulerConfig config) {
        for (SchedulerConfig.ServiceLevelObjective o : config.objectives()) {
            if (o.kind() == SchedulerConfig.ObjectiveKind.START) {
                patienceS.merge(o.jobClass(), PATIENCE * o.withinS(), Math::min);
            }
        }
    }

    /** Looks at the jobs that wait now. */
    public void refresh(List<MachineType> types, List<JobView> waiting) {
        typesOf.clear();
        bound.clear();
        for (JobView job : waiting) {
            Set<String> fitting = new HashSet<>();
            for (MachineType t : types) {
                if (t.fits(job.spec())) {
                    fitting.add(t.name());
                }
            }
            typesOf.put(job.spec().id(), fitting);
            bound.merge(fitting, job.spec().priority(), (a, b) -> a.compareTo(b) < 0 ? a : b);
        }
    }

    /** Whether a machine of the type may bid for the job. */
    public boolean mayTake(JobView job, MachineType type, long nowMs) {
        JobSpec spec = job.spec();
        Set<String> mine = typesOf.get(spec.id());
        if (mine == null) {
            return true;
        }
        boolean patient = nowMs - job.job().submittedMs() <= 1000 * patienceS.getOrDefault(spec.jobClass(), DEFAULT_S);
        boolean begun = job.placedCount() + job.finishedCount() > 0;
        for (Map.Entry<Set<String>, Priority> e : bound.entrySet()) {
            Set<String> other = e.getKey();
            if (other.size() < mine.size()
                    && other.contains(type.name())
                    && mine.containsAll(other)
                    && (patient || begun && e.getValue().compareTo(spec.priority()) < 0)) {
                return false;
            }
        }
        return true;
    }
}

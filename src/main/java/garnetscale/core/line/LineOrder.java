package garnetscale.core.line;

import garnetscale.core.Params;
import garnetscale.core.job.JobSpec;
import garnetscale.core.store.JobView;
import java.util.HashMap;
import java.util.Map;

/**
 * The order of a line: priority, then the shorter estimate, aged by waiting (DESIGN; the paper's shortest
 * processing time first). The estimate is that of the job's work that is still to start, since users wait for
 * jobs, not tasks; it is divided by one plus the waiting in units of that same work, so that a long job overtakes
 * short ones after waiting a few times its own length.
 *
 * <p>A deadline that can't be met any more puts a job behind the others of its priority: when not all can be in
 * time, those that can go first.
 */
public final class LineOrder {

    /** Work below this counts as this much, in seconds: tiny estimates must not put a guest at every head. */
    private static final double FLOOR_S = 10;
    private static final double PRIORITY = 1e9;
    private static final double MISSED = 4e8;
    private static final double MOST = 3e8;

    /** The largest multiple of the deadline that an objective still counts, by class. */
    private final Map<String, Double> times = new HashMap<>();

    public LineOrder(Params params) {
        for (Params.Objective o : params.objectives()) {
            if (o.kind().equals("deadline")) {
                times.merge(o.jobClass(), o.times(), Math::max);
            }
        }
    }

    /** Smaller is nearer to the head. */
    double key(JobView job, long nowMs) {
        JobSpec spec = job.spec();
        double waited = Math.max(0, nowMs - job.job().submittedMs()) / 1000.0;
        double work = Math.max(FLOOR_S, spec.estimateS() * Math.max(1, job.unstarted()) * Math.max(1, spec.cpus()));
        double aged = Math.min(MOST, work / (1 + waited / work));
        boolean missed = spec.deadlineS() != null
            && waited + spec.estimateS() > spec.deadlineS() * times.getOrDefault(spec.jobClass(), 1.0);
        return spec.priority().ordinal() * PRIORITY + (missed ? MISSED : 0) + aged;
    }
}

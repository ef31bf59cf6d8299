package garnetscale.core.queue;

import com.google.common.collect.ArrayListMultimap;
import com.google.common.collect.ListMultimap;
import garnetscale.core.SchedulerConfig;
import garnetscale.core.job.JobSpec;
import garnetscale.core.state.JobView;

/**
 * The order of a line: priority, then the shorter estimate, aged by waiting (DESIGN; the paper's shortest
 * processing time first). The estimate is that of the job's work that is still to start, since users wait for
 * jobs, not tasks; it is divided by one plus the waiting in units of that same work, so that a long job overtakes
 * short ones after waiting a few times its own length.
 *
 * <p>Each multiple of its deadline that counts and can't be met any more puts a job behind others of its priority:
 * when not all can be in time, those that can go first. Both are bounded: a job of which nothing has begun comes to the
 * head after a while, or the largest would wait for as long as shorter ones keep coming.
 */
public final class JobOrder {

    /** Work below this counts as this much, in seconds: tiny estimates must not put a guest at every head. */
    private static final double FLOOR_S = 10;

    private static final double PRIORITY = 1e9;
    private static final double MISSED = 1e8;
    private static final double MOST = 9e7;
    private static final int MOST_MISSED = 8;

    /** A job of which nothing has begun isn't left behind for longer than this, in units of a cancellation's time. */
    private static final double PATIENCE = 1.5;

    private final double patienceS;
    private final ListMultimap<String, SchedulerConfig.ServiceLevelObjective> due = ArrayListMultimap.create();

    public JobOrder(SchedulerConfig config) {
        patienceS = PATIENCE * config.cancelMs() / 1000.0;
        for (SchedulerConfig.ServiceLevelObjective o : config.objectives()) {
            if (o.kind() == SchedulerConfig.ObjectiveKind.DEADLINE) {
                due.put(o.jobClass(), o);
            }
        }
    }

    /** How many of the deadlines that count for the job's class a task started now would miss. */
    private int missed(JobSpec spec, double waitedS) {
        double end = waitedS + spec.estimateS();
        int missed = 0;
        for (SchedulerConfig.ServiceLevelObjective o : due.get(spec.jobClass())) {
            missed += spec.deadlineS() != null && end > spec.deadlineS() * o.times() ? 1 : 0;
        }
        return Math.min(missed, MOST_MISSED);
    }

    /** Smaller is nearer to the head. */
    double key(JobView job, long nowMs) {
        JobSpec spec = job.spec();
        double waited = Math.max(0, nowMs - job.job().submittedMs()) / 1000.0;
        if (job.placedCount() == 0 && job.finishedCount() == 0 && waited > patienceS) {
            // Nothing of it has begun: to the head of its priority, and once it has waited twice as long, of all.
            return (waited > 2 * patienceS ? 0 : spec.priority().ordinal()) * PRIORITY - waited;
        }
        double work = Math.max(FLOOR_S, spec.estimateS() * Math.max(1, job.unstarted()) * Math.max(1, spec.cpus()));
        double aged = Math.min(MOST, work / (1 + waited / work));
        return spec.priority().ordinal() * PRIORITY + missed(spec, waited) * MISSED + aged;
    }
}

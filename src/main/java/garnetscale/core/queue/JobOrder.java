package garnetscale.core.queue;

import com.google.common.collect.ArrayListMultimap;
import com.google.common.collect.ListMultimap;
import garnetscale.core.SchedulerConfig;
import garnetscale.core.job.JobSpec;
import garnetscale.core.state.JobView;

/**
 * The order of waiting jobs: by priority, then the shorter estimate, aged by waiting (DESIGN; the paper's shortest processing
 * time first). The estimate is that of the job's work that is still to start, since users wait for jobs, not tasks. It is
 * divided by one plus the waiting time in units of that same work, so that a long job overtakes short ones after waiting a few
 * times its own length.
 *
 * <p>Each deadline objective that applies to a job and can't be met any more puts it behind others of its priority: when not
 * all can be in time, those that can go first. Both are bounded, to prevent starvation: a job of which nothing has started
 * comes to the head after a while, or the largest would wait for as long as shorter ones keep coming.
 */
public final class JobOrder {

    /** Work below this counts as this much, in CPU seconds: tiny estimates must not put a guest team at every head. */
    private static final double MIN_WORK_S = 10;

    private static final double PRIORITY_WEIGHT = 1e9;
    /** More than any aged work, and with all misses of a job less than a priority. */
    private static final double MISSED_DEADLINE_WEIGHT = 1e8;

    private static final double MAX_AGED_WORK_S = 9e7;
    private static final int MAX_MISSED_DEADLINES = 8;

    /** A job of which nothing has started isn't left behind for longer than this, in units of the cancellation time. */
    private static final double STARVATION_LIMIT = 1.5;

    private final double starvationLimitS;
    private final ListMultimap<String, SchedulerConfig.ServiceLevelObjective> deadlinesByClass =
            ArrayListMultimap.create();

    /** Takes the deadline objectives and the cancellation time from the configuration. */
    public JobOrder(SchedulerConfig config) {
        starvationLimitS = STARVATION_LIMIT * config.cancellationDeadlineMs() / 1000.0;
        for (SchedulerConfig.ServiceLevelObjective objective : config.objectives()) {
            if (objective.kind() == SchedulerConfig.ObjectiveKind.DEADLINE) {
                deadlinesByClass.put(objective.jobClass(), objective);
            }
        }
    }

    /** How many of the deadline objectives of the job's class a task started now would miss. */
    private int missedDeadlines(JobSpec spec, double waitedS) {
        double endS = waitedS + spec.estimateS();
        int missed = 0;
        for (SchedulerConfig.ServiceLevelObjective objective : deadlinesByClass.get(spec.jobClass())) {
            missed += spec.deadlineS() != null && endS > spec.deadlineS() * objective.times() ? 1 : 0;
        }
        return Math.min(missed, MAX_MISSED_DEADLINES);
    }

    /** The sort key of a job, with {@code nowMs} as time of day; a smaller one is nearer to the head. */
    double key(JobView job, long nowMs) {
        JobSpec spec = job.spec();
        double waitedS = Math.max(0, nowMs - job.job().submittedMs()) / 1000.0;
        if (job.placedCount() == 0 && job.finishedCount() == 0 && waitedS > starvationLimitS) {
            // Nothing of it has started: to the head of its priority, and once it has waited twice as long, of all.
            return (waitedS > 2 * starvationLimitS ? 0 : spec.priority().ordinal()) * PRIORITY_WEIGHT - waitedS;
        }
        double workS =
                Math.max(MIN_WORK_S, spec.estimateS() * Math.max(1, job.unstartedCount()) * Math.max(1, spec.cpus()));
        double agedWorkS = Math.min(MAX_AGED_WORK_S, workS / (1 + waitedS / workS));
        return spec.priority().ordinal() * PRIORITY_WEIGHT
                + missedDeadlines(spec, waitedS) * MISSED_DEADLINE_WEIGHT
                + agedWorkS;
    }
}

package garnetscale.core.queue;

import com.google.common.collect.ArrayListMultimap;
import com.google.common.collect.ListMultimap;
import garnetscale.core.SchedulerConfig;
import garnetscale.core.job.JobSpec;
import garnetscale.core.state.JobView;

/**
 * The order of waiting jobs: by priority, then by the least work, aged by waiting time (DESIGN; the paper's shortest processing
 * time first). A job's work is the estimate for all of its unstarted tasks, since users wait for jobs, not tasks. It is divided
 * by one plus the ratio of the waiting time to the work, so that a long job overtakes short ones after it has waited a few times
 * its own length.
 *
 * <p>Each deadline objective that a job can no longer meet puts the job behind others of its priority: when not all jobs can be
 * in time, those that still can go first.
 *
 * <p>Both rules are bounded to prevent starvation: a job that has no started task moves to the head of its priority after one and
 * a half times the cancellation deadline, and to the head of all jobs after twice that time. Otherwise the largest job would wait
 * as long as shorter ones keep arriving.
 */
public final class JobOrder {

    /**
     * Lower bound of a job's work in CPU-seconds: tiny estimates must not put the jobs of a team without a guarantee first in
     * every queue.
     */
    private static final double MIN_WORK_CPU_S = 10;

    private static final double PRIORITY_WEIGHT = 1e9;
    /** Exceeds any aged work; all missed deadlines of a job together weigh less than one level of priority. */
    private static final double MISSED_DEADLINE_WEIGHT = 1e8;

    private static final double MAX_AGED_WORK_CPU_S = 9e7;
    private static final int MAX_MISSED_DEADLINES = 8;

    /**
     * Waiting time after which a job without a started task moves to the head of its priority, as a ratio to the cancellation
     * deadline.
     */
    private static final double STARVATION_LIMIT_RATIO = 1.5;

    private final double starvationLimitS;
    private final ListMultimap<String, SchedulerConfig.ServiceLevelObjective> deadlinesByClass =
            ArrayListMultimap.create();

    /** Creates the order for the deadline objectives and the cancellation deadline of the configuration. */
    public JobOrder(SchedulerConfig config) {
        starvationLimitS = STARVATION_LIMIT_RATIO * config.cancellationDeadlineMs() / 1000.0;
        for (SchedulerConfig.ServiceLevelObjective objective : config.objectives()) {
            if (objective.kind() == SchedulerConfig.ObjectiveKind.DEADLINE) {
                deadlinesByClass.put(objective.jobClass(), objective);
            }
        }
    }

    /** Returns how many deadline objectives of the job's class a task that starts now would miss. */
    private int missedDeadlines(JobSpec spec, double waitedS) {
        double endS = waitedS + spec.estimateS();
        int missed = 0;
        for (SchedulerConfig.ServiceLevelObjective objective : deadlinesByClass.get(spec.jobClass())) {
            missed += spec.deadlineS() != null && endS > spec.deadlineS() * objective.times() ? 1 : 0;
        }
        return Math.min(missed, MAX_MISSED_DEADLINES);
    }

    /** Returns a job's sort key at the wall-clock time {@code nowMs}; a job with a smaller key is nearer to the head. */
    double sortKey(JobView job, long nowMs) {
        JobSpec spec = job.spec();
        double waitedS = Math.max(0, nowMs - job.job().submittedMs()) / 1000.0;
        if (job.placedCount() == 0 && job.finishedCount() == 0 && waitedS > starvationLimitS) {
            // No task has started: the job moves to the head of its priority, after twice the limit to the head of all.
            return (waitedS > 2 * starvationLimitS ? 0 : spec.priority().ordinal()) * PRIORITY_WEIGHT - waitedS;
        }
        double workCpuS = Math.max(
                MIN_WORK_CPU_S, spec.estimateS() * Math.max(1, job.unstartedCount()) * Math.max(1, spec.cpus()));
        double agedWorkCpuS = Math.min(MAX_AGED_WORK_CPU_S, workCpuS / (1 + waitedS / workCpuS));
        return spec.priority().ordinal() * PRIORITY_WEIGHT
                + missedDeadlines(spec, waitedS) * MISSED_DEADLINE_WEIGHT
                + agedWorkCpuS;
    }
}

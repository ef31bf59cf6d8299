package garnetscale.core.leader;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.Times;
import garnetscale.core.bidding.Auction;
import garnetscale.core.bidding.Estimator;
import garnetscale.core.job.Priority;
import garnetscale.core.job.TaskId;
import garnetscale.core.queue.JobOrder;
import garnetscale.core.queue.JobQueue;
import garnetscale.core.state.JobView;
import garnetscale.core.state.StateReplica;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Decides when and for which waiting jobs tasks are preempted. Preemption is for jobs that find no room on any machine: for
 * jobs that must start at once; for jobs within a guarantee, by taking back what other teams borrow; and for any job while
 * tasks of the lowest priority occupy the room. In a cycle that placed tasks, only tasks of the lowest priority are a reason to
 * look for victims, because preempting other tasks loses more than waiting for room costs.
 */
final class PreemptionStops {

    /**
     * Maximum number of jobs without room, from the head of the queue, for which tasks are preempted in one cycle. If there are
     * no victims for these, there are none for the jobs behind them either.
     */
    private static final int MAX_JOBS = 4;
    /** Bidding windows to wait after a search that preempted nothing, while tasks of the lowest priority run. */
    private static final int LONG_PAUSE_WINDOWS = 4;
    /** Bidding windows to wait after a search that preempted nothing, while no tasks of the lowest priority run. */
    private static final int SHORT_PAUSE_WINDOWS = 2;

    private final SchedulerConfig config;
    private final StateReplica replica;
    private final Auction auction;
    private final Estimator estimator;
    private final JobOrder order;
    private final HeadroomReserve reserve;
    private final FailureTracker failures;
    private final Consumer<String> log;
    /** Tasks that have been preempted before. */
    private final Set<TaskId> preemptedTasks = new HashSet<>();

    /** Time of the next search for victims, in milliseconds of the steady clock. */
    private long dueAt = Times.NEVER;

    PreemptionStops(LeaderContext context, HeadroomReserve reserve) {
        this.config = context.config();
        this.replica = context.replica();
        this.auction = context.auction();
        this.estimator = context.estimator();
        this.order = context.order();
        this.reserve = reserve;
        this.failures = context.failures();
        this.log = context.log();
    }

    /** Discards what is known from an earlier term, when a new one begins. */
    void clear() {
        preemptedTasks.clear();
    }

    /** Forgets tasks of jobs that have ended. */
    void forgetEndedJobs() {
        preemptedTasks.removeIf(task -> replica.job(task.job()) == null);
    }

    /**
     * Adds due stops to the cycle's draft.
     *
     * @param placedNothing whether the cycle placed no task
     */
    void plan(SchedulingCycle cycle, boolean placedNothing) {
        if (cycle.now() < dueAt) {
            return;
        }
        boolean hasLowPriorityTasks =
                replica.jobs().stream().anyMatch(job -> job.spec().priority() == Priority.LOW && job.placedCount() > 0);
        if (!hasLowPriorityTasks && !placedNothing) {
            return;
        }
        dueAt = cycle.now() + (hasLowPriorityTasks ? config.bidWindowMs() : config.bidWindowMs() / 2);
        if (!preempt(cycle, placedNothing, hasLowPriorityTasks)) {
            // The fleet is full and there are no victims, so another search soon would find none either.
            dueAt = cycle.now()
                    + (hasLowPriorityTasks ? LONG_PAUSE_WINDOWS : SHORT_PAUSE_WINDOWS) * config.bidWindowMs();
        }
    }

    /**
     * Preempts tasks for the first jobs that find no room. Returns false if there are such jobs and nothing could be preempted
     * for any of them.
     */
    private boolean preempt(SchedulingCycle cycle, boolean placedNothing, boolean hasLowPriorityTasks) {
        int jobsWithoutRoom = 0;
        int preempted = 0;
        Preemption preemption = null;
        for (JobView job : JobQueue.sort(replica.jobs(), order, cycle.wallMs())) {
            boolean isUrgent = placedNothing && reserve.isUrgent(job);
            boolean isGuaranteed = cycle.draft().quota().isWithinGuarantee(job.spec());
            if (!isUrgent && !isGuaranteed && !hasLowPriorityTasks || !findsNoRoom(cycle, job)) {
                continue;
            }
            if (jobsWithoutRoom++ >= MAX_JOBS) {
                break;
            }
            if (preemption == null) {
                preemption = new Preemption(replica, cycle, estimator, preemptedTasks);
            }
            int stopped = preemption.makeRoom(job, waitingCount(cycle, job), isUrgent, isGuaranteed);
            if (stopped > 0) {
                log.accept("preempting tasks, tasks=" + stopped + " for_job="
                        + job.spec().id() + " team=" + job.spec().team());
                preempted += stopped;
            }
        }
        return jobsWithoutRoom == 0 || preempted > 0;
    }

    /** Returns the number of tasks of the job that still wait once the draft is applied. */
    private static int waitingCount(SchedulingCycle cycle, JobView job) {
        return job.unstartedCount() - cycle.draft().placedCount(job.spec().id());
    }

    /**
     * Returns whether tasks of the job still wait although its bidding window has closed or there are no bids for it. Always
     * false for quarantined jobs and for jobs that their team's quota doesn't allow.
     */
    private boolean findsNoRoom(SchedulingCycle cycle, JobView job) {
        String id = job.spec().id();
        boolean isBiddingOpen =
                !auction.isWindowClosed(cycle.now(), job) && !auction.bids(id).isEmpty();
        return waitingCount(cycle, job) > 0
                && !isBiddingOpen
                && !failures.isQuarantined(id)
                && cycle.draft().quota().allows(job.spec());
    }
}

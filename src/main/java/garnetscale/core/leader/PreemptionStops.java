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
 * Decides when, and for which waiting jobs, tasks are preempted. Preemption is for jobs that find no room: for those that must
 * start at once, for those within a guarantee, for which what others borrow is taken back, and for any job where work of the lowest
 * priority has the room. In a cycle that placed something only work of the lowest priority is a reason to look: other work loses
 * more by preemption than the wait for room costs.
 */
final class PreemptionStops {

    /** Jobs at the head of the queue that others are preempted for at a time: where they find nobody, those behind won't either. */
    private static final int MAX_JOBS = 4;
    /** Bidding windows until the next look after one that preempted nothing: while work of the lowest priority runs, or else. */
    private static final int LONG_PAUSE_WINDOWS = 4;

    private static final int SHORT_PAUSE_WINDOWS = 2;

    private final SchedulerConfig config;
    private final StateReplica replica;
    private final Auction auction;
    private final Estimator estimator;
    private final JobOrder order;
    private final HeadroomReserve reserve;
    private final FailureTracker failures;
    private final Consumer<String> log;
    /** Tasks that were preempted once. */
    private final Set<TaskId> preemptedTasks = new HashSet<>();

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

    /** A new leadership begins. */
    void clear() {
        preemptedTasks.clear();
    }

    /** Forgets tasks of jobs that ended. */
    void forgetEnded() {
        preemptedTasks.removeIf(task -> replica.job(task.job()) == null);
    }

    /** Adds the stops that are due to the cycle's draft; {@code placedNothing}: no task was placed in this cycle. */
    void plan(SchedulingCycle cycle, boolean placedNothing) {
        if (cycle.now() < dueAt) {
            return;
        }
        boolean hasLowWork =
                replica.jobs().stream().anyMatch(job -> job.spec().priority() == Priority.LOW && job.placedCount() > 0);
        if (!hasLowWork && !placedNothing) {
            return;
        }
        dueAt = cycle.now() + (hasLowWork ? config.bidWindowMs() : config.bidWindowMs() / 2);
        if (!preempt(cycle, placedNothing, hasLowWork)) {
            // A full fleet without anybody to preempt: the search was for nothing, and soon would be again.
            dueAt = cycle.now() + (hasLowWork ? LONG_PAUSE_WINDOWS : SHORT_PAUSE_WINDOWS) * config.bidWindowMs();
        }
    }

    /** Preempts for the first jobs that find no room; false when there were some, and nothing could be preempted for them. */
    private boolean preempt(SchedulingCycle cycle, boolean placedNothing, boolean hasLowWork) {
        int jobsWithoutRoom = 0;
        int preempted = 0;
        Preemption preemption = null;
        for (JobView job : JobQueue.sort(replica.jobs(), order, cycle.wallMs())) {
            boolean isUrgent = placedNothing && reserve.isUrgent(job);
            boolean isGuaranteed = cycle.draft().quota().isWithinGuarantee(job.spec());
            if (!isUrgent && !isGuaranteed && !hasLowWork || !findsNoRoom(cycle, job)) {
                continue;
            }
            if (jobsWithoutRoom++ >= MAX_JOBS) {
                break;
            }
            if (preemption == null) {
                preemption = new Preemption(replica, cycle, estimator, preemptedTasks);
            }
            int stopped = preemption.makeRoom(job, waitingTasks(cycle, job), isUrgent, isGuaranteed);
            if (stopped > 0) {
                log.accept("preempting tasks, tasks=" + stopped + " for_job="
                        + job.spec().id() + " team=" + job.spec().team());
                preempted += stopped;
            }
        }
        return jobsWithoutRoom == 0 || preempted > 0;
    }

    /** Tasks of the job that the draft leaves waiting. */
    private static int waitingTasks(SchedulingCycle cycle, JobView job) {
        return job.unstartedCount() - cycle.draft().placedCount(job.spec().id());
    }

    private boolean findsNoRoom(SchedulingCycle cycle, JobView job) {
        String id = job.spec().id();
        boolean isBiddingOpen =
                !auction.isWindowClosed(cycle.now(), job) && !auction.bids(id).isEmpty();
        return waitingTasks(cycle, job) > 0
                && !isBiddingOpen
                && !failures.isQuarantined(id)
                && cycle.draft().quota().allows(job.spec());
    }
}

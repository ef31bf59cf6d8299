package garnetscale.core.leader;

import garnetscale.core.SchedulerConfig;
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
 * Decides when, and for which waiting jobs, others are stopped. Stops are for those who find no room: for jobs that must start at
 * once, for work within a guarantee, for which what others borrow is given back, and for any work where idle work, of the lowest
 * priority, has the room. In a turn that awarded something only idle work is reason to look: other work loses more by it than the
 * wait for room costs.
 */
final class PreemptionStops {

    /** Jobs at the head that others are stopped for at a time: where they find nobody, those behind won't either. */
    private static final int MOST_JOBS = 4;

    private final SchedulerConfig config;
    private final StateReplica replica;
    private final Auction auction;
    private final Estimator estimator;
    private final JobOrder order;
    private final HeadroomReserve reserve;
    private final FailureTracker failures;
    private final Consumer<String> log;
    /** Tasks that made room for others once. */
    private final Set<TaskId> stoppedOnce = new HashSet<>();

    private long dueAt = Long.MIN_VALUE / 2;

    PreemptionStops(
            SchedulerConfig config,
            StateReplica replica,
            Auction auction,
            Estimator estimator,
            JobOrder order,
            HeadroomReserve reserve,
            FailureTracker failures,
            Consumer<String> log) {
        this.config = config;
        this.replica = replica;
        this.auction = auction;
        this.estimator = estimator;
        this.order = order;
        this.reserve = reserve;
        this.failures = failures;
        this.log = log;
    }

    /** A new leadership begins. */
    void clear() {
        stoppedOnce.clear();
    }

    /** Forgets jobs that are over. */
    void forgetEnded() {
        stoppedOnce.removeIf(task -> replica.job(task.job()) == null);
    }

    /** {@code awardedNothing}: nothing was placed in this turn. */
    void plan(SchedulingCycle turn, boolean awardedNothing) {
        if (turn.now() < dueAt) {
            return;
        }
        boolean hasIdleWork =
                replica.jobs().stream().anyMatch(job -> job.spec().priority() == Priority.LOW && job.placedCount() > 0);
        if (!hasIdleWork && !awardedNothing) {
            return;
        }
        dueAt = turn.now() + (hasIdleWork ? config.windowMs() : config.windowMs() / 2);
        int looked = 0;
        boolean found = false;
        Preemption preemption = null;
        for (JobView job : JobQueue.sort(replica.jobs(), order, turn.wallMs())) {
            boolean isTight = awardedNothing && reserve.isTight(job);
            boolean isGuaranteed = turn.draft().quota().guarantees(job.spec());
            if (!isTight && !isGuaranteed && !hasIdleWork || !findsNoRoom(turn, job)) {
                continue;
            }
            if (looked++ >= MOST_JOBS) {
                break;
            }
            if (preemption == null) {
                preemption = new Preemption(replica, turn.machines(), estimator, stoppedOnce, turn.draft(), turn.now());
            }
            int stopped = preemption.makeRoom(job, waiting(turn, job), isTight, isGuaranteed);
            if (stopped > 0) {
                log.accept("stops " + stopped + " less urgent tasks for job "
                        + job.spec().id() + " of team " + job.spec().team());
                found = true;
            }
        }
        if (looked > 0 && !found) {
            // A full fleet without anybody to stop: it was gone over for nothing, and soon would be again.
            dueAt = turn.now() + (hasIdleWork ? 4 : 2) * config.windowMs();
        }
    }

    private static int waiting(SchedulingCycle turn, JobView job) {
        return job.unstarted() - turn.draft().awarded(job.spec().id());
    }

    private boolean findsNoRoom(SchedulingCycle turn, JobView job) {
        String id = job.spec().id();
        boolean isOpen = !auction.closed(turn.now(), job) && !auction.bids(id).isEmpty();
        return waiting(turn, job) > 0
                && !isOpen
                && !failures.isSuspect(id)
                && turn.draft().quota().allows(job.spec());
    }
}

package garnetscale.core.leader;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.quota.QuotaUsage;
import garnetscale.core.state.JobView;
import garnetscale.core.state.Layouts;
import garnetscale.core.state.LogWriter;
import garnetscale.core.state.StateReplica;
import garnetscale.core.state.Transaction;
import garnetscale.core.upgrade.ClusterVersion;

/**
 * Drafts the transaction of one scheduling cycle: records tasks that ended, places waiting tasks, and stops tasks that must
 * make room for others, must leave their machine or would run better elsewhere.
 */
final class PlacementPlanner {

    private final LeaderContext context;
    private final SchedulerConfig config;
    private final StateReplica replica;
    private final AttemptNumbers attempts;
    private final ExitRecorder exitRecorder;
    private final MachineEvaluator machineEvaluator;
    private final HeadroomReserve reserve;
    private final DrainStops drainStops;
    private final PreemptionStops preemptionStops;
    private final LateBidStops lateBidStops;
    private final Balancer balancer;

    PlacementPlanner(
            LeaderContext context,
            AttemptNumbers attempts,
            ExitRecorder exitRecorder,
            MachineEvaluator machineEvaluator,
            Balancer balancer) {
        this.context = context;
        this.config = context.config();
        this.replica = context.replica();
        this.attempts = attempts;
        this.exitRecorder = exitRecorder;
        this.machineEvaluator = machineEvaluator;
        this.reserve = new HeadroomReserve(config);
        this.drainStops = new DrainStops(context);
        this.preemptionStops = new PreemptionStops(context, reserve);
        this.lateBidStops = new LateBidStops(context);
        this.balancer = balancer;
    }

    /** Discards what is known from an earlier term, when a new one begins. */
    void clear() {
        preemptionStops.clear();
    }

    /**
     * Returns the cycle's transaction, or null if there is nothing to change.
     *
     * @param now    milliseconds of the steady clock
     * @param wallMs wall-clock time in milliseconds since the Unix epoch
     */
    Transaction plan(long now, long wallMs) {
        TransactionDraft draft = new TransactionDraft(replica, QuotaUsage.of(config, replica), logLimits());
        SchedulingCycle cycle =
                new SchedulingCycle(now, wallMs, context.machines().values(), draft);
        recordExits(cycle);
        boolean placedNothing = placeTasks(cycle) == 0;
        machineEvaluator.evaluate(now);
        drainStops.plan(cycle);
        preemptionStops.plan(cycle, placedNothing);
        if (placedNothing) {
            lateBidStops.plan(cycle);
        }
        balancer.plan(cycle);
        recordCancelledJobs(draft);
        return draft.isEmpty() ? null : draft.toTransaction();
    }

    /** Returns the limits on a transaction under the active cluster version. */
    private LogWriter.Limits logLimits() {
        ClusterVersion version = replica.version();
        return new LogWriter.Limits(
                config.maxValueBytes(),
                config.maxTransactionOperations(),
                version.active(),
                version.isFinal() && version.active() > Layouts.FIRST);
    }

    private void recordExits(SchedulingCycle cycle) {
        if (exitRecorder.record(cycle.now(), cycle.draft())) {
            preemptionStops.forgetEndedJobs();
            context.failures().retain(job -> replica.job(job) != null);
        }
    }

    private int placeTasks(SchedulingCycle cycle) {
        return new TaskPlacer(context, reserve, balancer.load(), cycle).placeTasks(() -> nextAttempt(cycle.now()));
    }

    private long nextAttempt(long now) {
        long attempt = attempts.next();
        context.awardTimes().add(now, attempt);
        return attempt;
    }

    private void recordCancelledJobs(TransactionDraft draft) {
        for (JobView job : replica.jobs()) {
            if (!job.isLive() && job.placedCount() == 0 && draft.hasRoomForJobEnd()) {
                draft.recordCancelled(job);
            }
        }
    }
}

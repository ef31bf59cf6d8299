package garnetscale.core.leader;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.Times;
import garnetscale.core.balance.BalanceSettings;
import garnetscale.core.balance.DestinationBid;
import garnetscale.core.balance.LoadSnapshot;
import garnetscale.core.balance.MachineGroup;
import garnetscale.core.balance.Move;
import garnetscale.core.balance.MoveBudget;
import garnetscale.core.balance.MovePlanner;
import garnetscale.core.balance.RunningTask;
import garnetscale.core.balance.SourceMachine;
import garnetscale.core.balance.WaitingJob;
import garnetscale.core.bidding.Auction;
import garnetscale.core.bidding.Bid;
import garnetscale.core.bidding.Estimator;
import garnetscale.core.job.JobSpec;
import garnetscale.core.job.Priority;
import garnetscale.core.machine.FreeCapacity;
import garnetscale.core.machine.MachineType;
import garnetscale.core.machine.Placement;
import garnetscale.core.queue.JobOrder;
import garnetscale.core.queue.JobQueue;
import garnetscale.core.state.FreeCapacityCache;
import garnetscale.core.state.JobView;
import garnetscale.core.state.StateReplica;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Carries out load balancing for the leader: builds the input of the {@link MovePlanner} from what the leader knows, and adds
 * the planned moves to the draft as stops. It only stops tasks; where they start again is up to the bids.
 */
final class Balancer {

    /** Logged in place of a job if the move is for the moved task itself, which ends earlier elsewhere. */
    private static final String NO_OTHER_BENEFICIARY = "none";

    private final BalanceSettings settings;
    private final long heartbeatIntervalMs;
    private final StateReplica replica;
    private final Auction auction;
    private final Estimator estimator;
    private final JobOrder order;
    private final FailureTracker failures;
    private final Map<String, MachineState> machines;
    private final FreeCapacityCache capacities;
    private final Consumer<String> log;
    private final LoadObserver observer;
    private final MoveSources sources;
    private final MoveBudget budget;
    private Set<String> jobsWantingBids = Set.of();
    private long dueAt = Times.NEVER;

    Balancer(LeaderContext context) {
        SchedulerConfig config = context.config();
        this.settings = config.features().balance();
        this.heartbeatIntervalMs = config.heartbeatIntervalMs();
        this.replica = context.replica();
        this.auction = context.auction();
        this.estimator = context.estimator();
        this.order = context.order();
        this.failures = context.failures();
        this.machines = context.machines();
        this.capacities = context.capacities();
        this.log = context.log();
        this.observer = new LoadObserver(config, replica, auction, estimator);
        this.sources = new MoveSources(context);
        this.budget = new MoveBudget(settings.moving(), config.workerLeaseMs());
    }

    /** Discards what is known from an earlier term, when a new one begins. */
    void begin(long now) {
        observer.clear();
        budget.startTerm(now);
        jobsWantingBids = Set.of();
        dueAt = now;
    }

    /** Records that a message from the controller has arrived. */
    void onControllerMessage(long now, String node) {
        observer.onControllerMessage(now, node);
    }

    /** Returns the fleet's load as of the last pass; empty while load balancing is off. */
    LoadSnapshot load() {
        return observer.snapshot();
    }

    /** Returns the jobs with tasks that might move, for which late bids are requested. */
    Set<String> jobsWantingBids() {
        return jobsWantingBids;
    }

    /** Returns the moves that were decided within the budget's window, oldest first. */
    List<Move> recentMoves() {
        return budget.recent();
    }

    /** Takes back moves whose transaction wasn't applied, and logs moves whose transaction was. Called before each draft. */
    void reconcile() {
        for (Move move : budget.reconcile(this::isUnchanged)) {
            log.accept("moving task, task=" + move.task() + " machine=" + move.machine() + " from=" + move.from()
                    + " to=" + move.to() + " for_job="
                    + (move.beneficiary() == null ? NO_OTHER_BENEFICIARY : move.beneficiary()) + " gain_cpu_s="
                    + Math.round(move.gainCpuS()) + " disruption_cpu_s=" + Math.round(move.disruptionCpuS()));
        }
    }

    private boolean isUnchanged(Move move) {
        return replica.placements(move.machine()).stream()
                .anyMatch(
                        placement -> placement.attempt() == move.attempt() && placement.stop() == Placement.Stop.KEEP);
    }

    /** Updates the load and plans moves, at most once per heartbeat interval. */
    void plan(SchedulingCycle cycle) {
        if (!settings.enabled() || cycle.now() < dueAt) {
            return;
        }
        dueAt = cycle.now() + heartbeatIntervalMs;
        LoadSnapshot load = observer.update(cycle);
        jobsWantingBids = Set.of();
        if (budget.isQuiet(cycle.now())) {
            return;
        }
        List<WaitingJob> waiting = waitingForRoom(cycle);
        boolean hasSlowMachine = cycle.machines().stream().anyMatch(sources::isSlow);
        if (waiting.isEmpty() && !hasSlowMachine) {
            return;
        }
        List<SourceMachine> sourceMachines = sources.machines(cycle, load);
        jobsWantingBids = movableJobs(waiting, sourceMachines);
        if (jobsWantingBids.isEmpty()) {
            return;
        }
        budget.startPass(cycle.now(), placedCount(cycle), stoppingCount(cycle));
        MovePlanner.Input input =
                new MovePlanner.Input(cycle.now(), load, waiting, sourceMachines, destinationBids(cycle));
        for (Move move : MovePlanner.plan(settings.margin(), input, budget)) {
            stop(cycle.draft(), move);
        }
    }

    private void stop(TransactionDraft draft, Move move) {
        for (Placement placement : draft.placements(move.machine())) {
            if (placement.attempt() == move.attempt() && draft.hasRoomForChange()) {
                JobView job = replica.job(placement.task().job());
                draft.stop(move.machine(), placement, job.spec());
                return;
            }
        }
    }

    private int placedCount(SchedulingCycle cycle) {
        return cycle.machines().stream()
                .mapToInt(machine -> cycle.draft().placements(machine.id).size())
                .sum();
    }

    private int stoppingCount(SchedulingCycle cycle) {
        return (int) cycle.machines().stream()
                .flatMap(machine -> cycle.draft().placements(machine.id).stream())
                .filter(placement -> placement.stop() != Placement.Stop.KEEP)
                .count();
    }

    // ---- waiting jobs, and jobs that could make room for them

    /**
     * Returns the jobs that have waited for at least a heartbeat interval, that no bidder has room for, and that have a higher
     * priority than some placed job.
     */
    private List<WaitingJob> waitingForRoom(SchedulingCycle cycle) {
        List<WaitingJob> found = new ArrayList<>();
        Priority lowest = lowestPlacedPriority();
        if (lowest == null) {
            return found;
        }
        for (JobView job : JobQueue.sort(replica.jobs(), order, cycle.wallMs())) {
            int tasks =
                    job.unstartedCount() - cycle.draft().placedCount(job.spec().id());
            if (tasks > 0 && job.spec().priority().compareTo(lowest) < 0 && findsNoRoom(cycle, job)) {
                found.add(new WaitingJob(job.spec(), tasks, estimator.runTimeS(job.spec())));
            }
        }
        return found;
    }

    /** Returns the lowest priority of a live job with placed tasks, or null if there is none. */
    private Priority lowestPlacedPriority() {
        Priority lowest = null;
        for (JobView job : replica.jobs()) {
            Priority priority = job.spec().priority();
            if (job.isLive() && job.placedCount() > 0 && (lowest == null || priority.compareTo(lowest) > 0)) {
                lowest = priority;
            }
        }
        return lowest;
    }

    /**
     * Returns whether the job has waited for at least a heartbeat interval and no bidder has room for it. Always false for jobs
     * with a zone affinity or anti-affinity, because room in another zone might be of no use to them, for quarantined jobs, and
     * for jobs that their team's quota doesn't allow.
     */
    private boolean findsNoRoom(SchedulingCycle cycle, JobView job) {
        return !job.spec().zoneAffinity()
                && !job.spec().zoneAntiAffinity()
                && cycle.wallMs() - job.job().submittedMs() >= heartbeatIntervalMs
                && auction.bids(job.spec().id()).stream().allMatch(bid -> slots(cycle, bid, job.spec()) == 0)
                && !failures.isQuarantined(job.spec().id())
                && cycle.draft().quota().allows(job.spec());
    }

    /** Returns the jobs with a task that could make room for a waiting job or could leave a slow machine. */
    private static Set<String> movableJobs(List<WaitingJob> waiting, List<SourceMachine> sourceMachines) {
        Set<String> jobs = new HashSet<>();
        for (SourceMachine machine : sourceMachines) {
            List<WaitingJob> fitting = waiting.stream()
                    .filter(job ->
                            JobQueue.allows(machine.type(), machine.group().zone(), machine.spot(), job.job()))
                    .toList();
            for (RunningTask task : machine.tasks()) {
                Priority priority = task.job().priority();
                boolean makesRoom =
                        fitting.stream().anyMatch(job -> job.job().priority().compareTo(priority) < 0);
                if (task.movable() && (makesRoom || machine.slow())) {
                    jobs.add(task.job().id());
                }
            }
        }
        return jobs;
    }

    // ---- destinations

    /** Returns the bids for the jobs that might move, from machines that have room, by job. */
    private Map<String, List<DestinationBid>> destinationBids(SchedulingCycle cycle) {
        Map<String, List<DestinationBid>> destinationBids = new HashMap<>();
        for (String id : jobsWantingBids) {
            JobSpec job = replica.job(id).spec();
            List<DestinationBid> ofJob = new ArrayList<>();
            for (Bid bid : auction.bids(id)) {
                int slots = slots(cycle, bid, job);
                if (slots > 0) {
                    ofJob.add(destinationBid(machines.get(bid.machine()), slots, bid.finishS()));
                }
            }
            destinationBids.put(id, ofJob);
        }
        return destinationBids;
    }

    private DestinationBid destinationBid(MachineState machine, int slots, double finishS) {
        MachineGroup group = LoadObserver.groupOf(machine);
        MachineType type = replica.type(group.type());
        return new DestinationBid(
                machine.id, group, type, machine.status.spot(), sources.isSlow(machine), slots, finishS);
    }

    /**
     * Returns how many tasks of the job a bidder has room for, both by its bid and by the stored placements. The bid alone
     * isn't enough, because the batch that withdraws it may have been lost with its connection.
     */
    private int slots(SchedulingCycle cycle, Bid bid, JobSpec job) {
        MachineState machine = machines.get(bid.machine());
        if (machine == null || !isUsable(cycle.now(), machine, bid)) {
            return 0;
        }
        FreeCapacity free = capacities.of(machine.id, replica.type(machine.status.type()));
        return Math.min(bid.slots(), free.slots(job));
    }

    private boolean isUsable(long now, MachineState machine, Bid bid) {
        return replica.type(machine.status.type()) != null
                && machine.acceptsTasks(now)
                && machine.status.agentEpoch() == bid.agentEpoch();
    }
}

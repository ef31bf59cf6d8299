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
 * Carries out load balancing for the leader: turns what the leader knows into the input of the {@link MovePlanner}, and its moves
 * into stops of the draft. It stops tasks and nothing else; where they start again is up to the bids.
 */
final class Balancer {

    /** In the log in place of a job, when the moved task itself ends earlier elsewhere. */
    private static final String NO_BENEFICIARY = "none";

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

    /** A new leadership begins. */
    void begin(long now) {
        observer.clear();
        budget.startTerm(now);
        jobsWantingBids = Set.of();
        dueAt = now;
    }

    /** A controller gave a sign of life. */
    void onSignOfLife(long now, String node) {
        observer.onSignOfLife(now, node);
    }

    /** The load of the fleet as of the last pass; empty while load balancing is off. */
    LoadSnapshot load() {
        return observer.snapshot();
    }

    /** Jobs with tasks that might move, for which late bids are wanted. */
    Set<String> jobsWantingBids() {
        return jobsWantingBids;
    }

    /** Moves that were decided within the budget's window, oldest first. */
    List<Move> recentMoves() {
        return budget.recent();
    }

    /** Takes back what was decided in a transaction that wasn't applied; called before each draft. */
    void reconcile() {
        for (Move move : budget.reconcile(this::isUnchanged)) {
            log.accept("moving task, task=" + move.task() + " machine=" + move.machine() + " from=" + move.from()
                    + " to=" + move.to() + " for_job="
                    + (move.beneficiary() == null ? NO_BENEFICIARY : move.beneficiary()) + " gain_cpu_s="
                    + Math.round(move.gainCpuS()) + " disruption_cpu_s=" + Math.round(move.disruptionCpuS()));
        }
    }

    private boolean isUnchanged(Move move) {
        return replica.placements(move.machine()).stream()
                .anyMatch(
                        placement -> placement.attempt() == move.attempt() && placement.stop() == Placement.Stop.KEEP);
    }

    /** Updates the load and plans moves, once in a heartbeat interval. */
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
        boolean hasSlow = cycle.machines().stream().anyMatch(sources::isSlow);
        if (waiting.isEmpty() && !hasSlow) {
            return;
        }
        List<SourceMachine> sourceMachines = sources.machines(cycle, load);
        jobsWantingBids = movableJobs(waiting, sourceMachines);
        if (jobsWantingBids.isEmpty()) {
            return;
        }
        budget.startPass(cycle.now(), placedCount(cycle), stoppingCount(cycle));
        MovePlanner.Input input = new MovePlanner.Input(cycle.now(), load, waiting, sourceMachines, offers(cycle));
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

    // ---- which jobs wait, and which could make room

    /** Jobs that wait although no bidder has room, for a heartbeat interval or longer, while work of lower priority is placed. */
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

    /** The lowest priority of a live job with placed tasks, or null. */
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

    /** Jobs that are bound by where their other tasks are don't count: room in another zone might be of no use to them. */
    private boolean findsNoRoom(SchedulingCycle cycle, JobView job) {
        return !job.spec().zoneAffinity()
                && !job.spec().zoneAntiAffinity()
                && cycle.wallMs() - job.job().submittedMs() >= heartbeatIntervalMs
                && auction.bids(job.spec().id()).stream().allMatch(bid -> slots(cycle, bid, job.spec()) == 0)
                && !failures.isQuarantined(job.spec().id())
                && cycle.draft().quota().allows(job.spec());
    }

    /** Jobs with a task that could leave room to one that waits, or a slow machine. */
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

    // ---- who bids

    /** The bids for the jobs that might move, from machines that have room. */
    private Map<String, List<DestinationBid>> offers(SchedulingCycle cycle) {
        Map<String, List<DestinationBid>> offers = new HashMap<>();
        for (String id : jobsWantingBids) {
            JobSpec job = replica.job(id).spec();
            List<DestinationBid> ofJob = new ArrayList<>();
            for (Bid bid : auction.bids(id)) {
                int slots = slots(cycle, bid, job);
                if (slots > 0) {
                    ofJob.add(offer(machines.get(bid.machine()), slots, bid.finishS()));
                }
            }
            offers.put(id, ofJob);
        }
        return offers;
    }

    private DestinationBid offer(MachineState machine, int slots, double finishS) {
        MachineGroup group = LoadObserver.groupOf(machine);
        MachineType type = replica.type(group.type());
        return new DestinationBid(
                machine.id, group, type, machine.status.spot(), sources.isSlow(machine), slots, finishS);
    }

    /**
     * How many tasks of the job a bidder has room for, by its bid and by what is stored: a batch that takes its bids back may
     * have been lost with its connection.
     */
    private int slots(SchedulingCycle cycle, Bid bid, JobSpec job) {
        MachineState machine = machines.get(bid.machine());
        if (machine == null || !isUsable(cycle.now(), machine, bid)) {
            return 0;
        }
        FreeCapacity room = capacities.of(machine.id, replica.type(machine.status.type()));
        return Math.min(bid.slots(), room.slots(job));
    }

    private boolean isUsable(long now, MachineState machine, Bid bid) {
        return replica.type(machine.status.type()) != null
                && machine.acceptsTasks(now)
                && machine.status.agentEpoch() == bid.agentEpoch();
    }
}

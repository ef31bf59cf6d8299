package garnetscale.core.leader;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.balance.BalanceSettings;
import garnetscale.core.balance.LoadSnapshot;
import garnetscale.core.balance.MachineGroup;
import garnetscale.core.balance.Move;
import garnetscale.core.balance.MoveBudget;
import garnetscale.core.balance.MovePlanner;
import garnetscale.core.balance.Offer;
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
 * Carries out load balancing for the leader: turns its view into the planner's input, and the plan into stops of the draft. It
 * stops tasks and nothing else; where they start again is up to the bids.
 */
final class Balancer {

    /** A start counts for its user's aims once it wasn't stopped for so long [PROTOCOL, "How aims are counted"]. */
    private static final double START_COUNTS_S = 30;
    /** A save may take longer than its job says. */
    private static final double CHECKPOINT_SLACK = 1.5;

    private static final double MILLIS = 1000;

    private final SchedulerConfig config;
    private final BalanceSettings settings;
    private final StateReplica replica;
    private final Auction auction;
    private final Estimator estimator;
    private final JobOrder order;
    private final FailureTracker failures;
    private final Map<String, MachineState> machines;
    private final FreeCapacityCache capacities;
    private final AwardTimes awardTimes;
    private final Consumer<String> log;
    private final LoadObserver observer;
    private final MoveBudget budget;
    private final Set<String> mustStartSoon = new HashSet<>();
    private Set<String> wanted = Set.of();
    private long dueAt = Long.MIN_VALUE / 2;

    Balancer(
            SchedulerConfig config,
            StateReplica replica,
            Auction auction,
            Estimator estimator,
            JobOrder order,
            FailureTracker failures,
            Map<String, MachineState> machines,
            FreeCapacityCache capacities,
            AwardTimes awardTimes,
            Consumer<String> log) {
        this.config = config;
        this.settings = config.features().balance();
        this.replica = replica;
        this.auction = auction;
        this.estimator = estimator;
        this.order = order;
        this.failures = failures;
        this.machines = machines;
        this.capacities = capacities;
        this.awardTimes = awardTimes;
        this.log = log;
        this.observer = new LoadObserver(config, replica, auction, estimator);
        this.budget = new MoveBudget(settings.moving(), config.leaseMs());
        for (SchedulerConfig.ServiceLevelObjective objective : config.objectives()) {
            if (objective.kind() == SchedulerConfig.ObjectiveKind.START) {
                mustStartSoon.add(objective.jobClass());
            }
        }
    }

    /** A new leadership begins. */
    void begin(long now) {
        observer.clear();
        budget.begin(now);
        wanted = Set.of();
        dueAt = now;
    }

    /** A controller gave a sign of life. */
    void heard(long now, String node) {
        observer.heard(now, node);
    }

    /** The load of the fleet as of the last pass; empty while load balancing is off. */
    LoadSnapshot load() {
        return observer.snapshot();
    }

    /** Jobs with tasks that might move, for which late bids are wanted. */
    Set<String> wanted() {
        return wanted;
    }

    /** Moves that were decided within the budget's window. */
    List<Move> recent() {
        return budget.recent();
    }

    /** Takes back what was decided in a transaction that wasn't applied; called before each draft. */
    void reconcile() {
        for (Move move : budget.reconcile(this::isUnchanged)) {
            log.accept("task " + move.task() + " is moved from " + move.machine() + " (" + move.from() + "), for "
                    + (move.beneficiary() == null ? "an earlier end" : "job " + move.beneficiary())
                    + "; a bid from " + move.to() + " gains " + Math.round(move.gainCpuS()) + " CPU-s for "
                    + Math.round(move.disruptionCpuS()));
        }
    }

    private boolean isUnchanged(Move move) {
        return replica.placements(move.machine()).stream()
                .anyMatch(
                        placement -> placement.attempt() == move.attempt() && placement.stop() == Placement.Stop.KEEP);
    }

    /** Updates the picture and plans moves, once in a report interval. */
    void plan(SchedulingCycle turn) {
        if (!settings.enabled() || turn.now() < dueAt) {
            return;
        }
        dueAt = turn.now() + config.heartbeatIntervalMs();
        LoadSnapshot load = observer.update(turn);
        wanted = Set.of();
        if (budget.isQuiet(turn.now())) {
            return;
        }
        List<WaitingJob> waiting = waitingForRoom(turn);
        boolean hasSlow = turn.machines().stream().anyMatch(this::isSlow);
        if (waiting.isEmpty() && !hasSlow) {
            return;
        }
        List<SourceMachine> sources = sources(turn, load);
        wanted = movableJobs(waiting, sources);
        if (wanted.isEmpty()) {
            return;
        }
        budget.observe(turn.now(), placed(turn), stopping(turn));
        MovePlanner.Input input = new MovePlanner.Input(turn.now(), load, waiting, sources, offers(turn));
        for (Move move : MovePlanner.plan(settings.margin(), input, budget)) {
            stop(turn, move);
        }
    }

    private void stop(SchedulingCycle turn, Move move) {
        for (Placement placement : turn.draft().placements(move.machine())) {
            if (placement.attempt() == move.attempt() && turn.draft().hasRoom(false)) {
                JobView job = replica.job(placement.task().job());
                Placement.Stop how = job.spec().writesCheckpoints() ? Placement.Stop.CHECKPOINT : Placement.Stop.NOW;
                turn.draft().stop(move.machine(), placement, how);
                return;
            }
        }
    }

    // ---- who waits

    /** Jobs that wait although no bidder has room, for a report interval or longer, while work of lower priority is placed. */
    private List<WaitingJob> waitingForRoom(SchedulingCycle turn) {
        Priority lowest = null;
        for (JobView job : replica.jobs()) {
            Priority priority = job.spec().priority();
            if (job.live() && job.placedCount() > 0 && (lowest == null || priority.compareTo(lowest) > 0)) {
                lowest = priority;
            }
        }
        List<WaitingJob> found = new ArrayList<>();
        if (lowest == null) {
            return found;
        }
        for (JobView job : JobQueue.sort(replica.jobs(), order, turn.wallMs())) {
            int tasks = job.unstarted() - turn.draft().awarded(job.spec().id());
            if (tasks > 0 && job.spec().priority().compareTo(lowest) < 0 && findsNoRoom(turn, job)) {
                found.add(new WaitingJob(job.spec(), tasks, estimator.runS(job.spec())));
            }
        }
        return found;
    }

    /** Jobs that are bound by where their other tasks are don't count: room in another zone might be of no use to them. */
    private boolean findsNoRoom(SchedulingCycle turn, JobView job) {
        return !job.spec().zoneAffinity()
                && !job.spec().zoneAntiAffinity()
                && turn.wallMs() - job.job().submittedMs() >= config.heartbeatIntervalMs()
                && auction.bids(job.spec().id()).stream().allMatch(bid -> slots(turn, bid, job.spec()) == 0)
                && !failures.isSuspect(job.spec().id())
                && turn.draft().quota().allows(job.spec());
    }

    // ---- what runs where

    private boolean isSlow(MachineState machine) {
        return !machine.decommissioned && estimator.machineFactor(machine.id) > 1;
    }

    private List<SourceMachine> sources(SchedulingCycle turn, LoadSnapshot load) {
        List<SourceMachine> sources = new ArrayList<>();
        for (MachineState machine : turn.machines()) {
            if (load.isKnown(machine.id) && load.machines().get(machine.id).serving()) {
                sources.add(source(turn, machine));
            }
        }
        return sources;
    }

    private SourceMachine source(SchedulingCycle turn, MachineState machine) {
        MachineType type = replica.type(machine.last.type());
        FreeCapacity free = new FreeCapacity(type);
        List<RunningTask> tasks = new ArrayList<>();
        for (Placement placement : turn.draft().placements(machine.id)) {
            JobView job = replica.job(placement.task().job());
            if (job != null && placement.stop() == Placement.Stop.KEEP) {
                free.take(job.spec());
                tasks.add(task(turn.now(), machine, placement, job));
            }
        }
        return new SourceMachine(
                machine.id, LoadObserver.groupOf(machine), type, machine.last.spot(), isSlow(machine), free, tasks);
    }

    /**
     * A task as the planner sees it. Its run counts from its award: the report that it began may have been lost or come late, and
     * a costly task would look like a new one. For the same reason a task that an earlier leader awarded isn't moved.
     */
    private RunningTask task(long now, MachineState machine, Placement placement, JobView job) {
        JobSpec spec = job.spec();
        Long since = machine.runningSince.get(placement.attempt());
        Long awardedAt = awardTimes.at(placement.attempt());
        double seenRunningS = since == null ? 0 : (now - since) / MILLIS;
        double ranAtMostS = awardedAt == null ? seenRunningS : (now - awardedAt) / MILLIS;
        boolean isStartPending = mustStartSoon.contains(spec.jobClass()) && seenRunningS < START_COUNTS_S;
        return new RunningTask(
                placement.task(),
                placement.attempt(),
                spec,
                estimator.remainingS(spec, machine.id, ranAtMostS),
                spec.writesCheckpoints() ? seenRunningS : 0,
                stopS(spec),
                job.live() && awardedAt != null && !isStartPending);
    }

    /** Until a stop that is decided now has freed the room: the holder's command, the save, and the report that proves it. */
    private double stopS(JobSpec job) {
        double checkpointing = job.writesCheckpoints() ? job.checkpointWriteS() * CHECKPOINT_SLACK + 1 : 0;
        return checkpointing + config.heartbeatIntervalMs() / MILLIS;
    }

    /** Jobs with a task that could leave room to one that waits, or a slow machine. */
    private static Set<String> movableJobs(List<WaitingJob> waiting, List<SourceMachine> sources) {
        Set<String> jobs = new HashSet<>();
        for (SourceMachine machine : sources) {
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

    private int placed(SchedulingCycle turn) {
        return turn.machines().stream()
                .mapToInt(machine -> turn.draft().placements(machine.id).size())
                .sum();
    }

    private int stopping(SchedulingCycle turn) {
        return (int) turn.machines().stream()
                .flatMap(machine -> turn.draft().placements(machine.id).stream())
                .filter(placement -> placement.stop() != Placement.Stop.KEEP)
                .count();
    }

    // ---- who bids

    private Map<String, List<Offer>> offers(SchedulingCycle turn) {
        Map<String, List<Offer>> offers = new HashMap<>();
        for (String id : wanted) {
            JobSpec job = replica.job(id).spec();
            List<Offer> ofJob = new ArrayList<>();
            for (Bid bid : auction.bids(id)) {
                int slots = slots(turn, bid, job);
                if (slots > 0) {
                    ofJob.add(offer(machines.get(bid.machine()), slots, bid.finishS()));
                }
            }
            offers.put(id, ofJob);
        }
        return offers;
    }

    private Offer offer(MachineState machine, int slots, double finishS) {
        MachineGroup group = LoadObserver.groupOf(machine);
        MachineType type = replica.type(group.type());
        return new Offer(machine.id, group, type, machine.last.spot(), isSlow(machine), slots, finishS);
    }

    /**
     * How many tasks of the job a bidder has room for, by its bid and by what is stored: a batch that takes its bids back may
     * have been lost with its connection.
     */
    private int slots(SchedulingCycle turn, Bid bid, JobSpec job) {
        MachineState machine = machines.get(bid.machine());
        if (machine == null || !isUsable(turn.now(), machine, bid)) {
            return 0;
        }
        FreeCapacity room = capacities.of(machine.id, replica.type(machine.last.type()));
        return Math.min(bid.slots(), room.slots(job));
    }

    private boolean isUsable(long now, MachineState machine, Bid bid) {
        return replica.type(machine.last.type()) != null
                && !machine.last.silent()
                && machine.last.evictionNoticeS() == null
                && machine.last.agentEpoch() == bid.agentEpoch()
                && now >= machine.avoidUntil
                && !machine.decommissioned;
    }
}

package garnetscale.core.leader;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.balance.LoadSnapshot;
import garnetscale.core.balance.Move;
import garnetscale.core.bidding.Auction;
import garnetscale.core.bidding.BidBatch;
import garnetscale.core.bidding.Estimator;
import garnetscale.core.job.TaskId;
import garnetscale.core.machine.ExitCause;
import garnetscale.core.machine.Placement;
import garnetscale.core.machine.TaskStatus;
import garnetscale.core.partition.LeaderInfo;
import garnetscale.core.partition.MachineStatus;
import garnetscale.core.partition.PartitionLease;
import garnetscale.core.partition.PartitionMap;
import garnetscale.core.queue.JobOrder;
import garnetscale.core.quota.QuotaUsage;
import garnetscale.core.state.FreeCapacityCache;
import garnetscale.core.state.JobView;
import garnetscale.core.state.Keys;
import garnetscale.core.state.Layouts;
import garnetscale.core.state.LogWriter;
import garnetscale.core.state.Records;
import garnetscale.core.state.StateReplica;
import garnetscale.core.state.Transaction;
import garnetscale.core.upgrade.ClusterVersion;
import garnetscale.core.upgrade.UpgradeCoordinator;
import garnetscale.core.upgrade.UpgradeDecision;
import garnetscale.core.upgrade.UpgradeStep;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.agrona.collections.Long2ObjectHashMap;

/**
 * The leader: leases blocks, takes bids, keeps quotas and awards; the only writer of placements and finished
 * sets. It has at most one transaction under way, and drafts each from the replica alone plus what the holders
 * have told it, so that a lost answer costs a fresh look and nothing else.
 */
public final class Leader {

    /** A machine this many times slower than its peers is given back. */
    private static final double SLOW = 2.2;
    /** Tasks of jobs that succeed elsewhere that fail on a machine in a row before it is given back. */
    private static final int FAILURES_TO_DECOMMISSION = 4;

    /** What a holder says of an attempt, under a block's term; {@code task} is null when it is gone without an exit. */
    private record Exit(String machine, String partition, long term, long attempt, TaskStatus task) {}

    private final SchedulerConfig config;
    private final StateReplica replica;
    private final Auction auction;
    private Set<String> lateJobs = Set.of();
    private long evaluatedAt = Long.MIN_VALUE / 2;
    private final JobOrder order;
    private final Estimator estimator;
    private final HeadroomReserve reserve;
    private final FreeCapacityCache capacities;
    private final Consumer<String> log;
    private final Map<String, MachineState> machines = new LinkedHashMap<>();
    private final Long2ObjectHashMap<Exit> exits = new Long2ObjectHashMap<>();
    /** Attempts that a holder calls gone, with the block term that it says so under. */
    private final Long2ObjectHashMap<Exit> terminated = new Long2ObjectHashMap<>();
    /** Machines that the cloud says are gone for good. */
    private final Set<String> terminatedMachines = new HashSet<>();

    private final FailureTracker failures = new FailureTracker();
    private boolean suspectNews;
    private final PeerFailureDetector health;
    private final PartitionAssigner assignment;

    private long notBefore = Long.MIN_VALUE;
    private long leaderSeenAt;
    private LeaderInfo leaderSeen;
    private long incarnation = -1;
    private LeaderInfo acting;
    private long actingSince;
    private final AttemptNumbers attempts = new AttemptNumbers();
    private final AwardTimes awardTimes;
    private final DrainStops drainStops;
    private final PreemptionStops preemptionStops;
    private final LateBidStops lateBidStops;
    private final Balancer balancer;
    private final UpgradeCoordinator upgrades;
    private long upgradeCheckedAt = Long.MIN_VALUE / 2;
    /** The step that an operator asked for and that can be carried out. */
    private UpgradeStep requested;

    private long wallOffset;

    public Leader(SchedulerConfig config, StateReplica replica, PartitionMap partitions, Consumer<String> log) {
        this.config = config;
        this.replica = replica;
        this.health = new PeerFailureDetector(config, replica, log);
        this.assignment = new PartitionAssigner(config, replica, partitions, health, machines.values(), log);
        this.log = log;
        this.order = new JobOrder(config);
        this.estimator = new Estimator(config.heartbeatIntervalMs());
        this.reserve = new HeadroomReserve(config);
        this.capacities = new FreeCapacityCache(replica);
        this.auction = new Auction(replica, config.windowMs());
        this.awardTimes = new AwardTimes(config.heartbeatIntervalMs());
        this.drainStops = new DrainStops(replica, estimator, config.heartbeatIntervalMs(), log);
        this.preemptionStops = new PreemptionStops(config, replica, auction, estimator, order, reserve, failures, log);
        this.lateBidStops = new LateBidStops(replica, auction, estimator, machines, log);
        this.balancer = new Balancer(
                config, replica, auction, estimator, order, failures, machines, capacities, awardTimes, log);
        this.upgrades =
                new UpgradeCoordinator(replica, config.features().layouts(), config.settleMs(), config.valueBytes());
    }

    public void onLeaseGranted(long lease) {
        incarnation = lease;
    }

    public void wallClock(long offset) {
        wallOffset = offset;
    }

    /** The term that this process leads under by the replica, or -1. */
    public long leadingTerm() {
        LeaderInfo l = replica.leader();
        return l != null && l.node().equals(config.self()) && l.incarnation() == incarnation ? l.term() : -1;
    }

    /** What the holders last said of each machine. */
    public Collection<MachineStatus> machines() {
        List<MachineStatus> list = new ArrayList<>(machines.size());
        machines.values().forEach(m -> list.add(m.last));
        return list;
    }

    /** Takes up leadership when the replica says so, and drops all that was known under an earlier term. */
    public boolean leads(long now) {
        long term = leadingTerm();
        if (term < 0) {
            acting = null;
            return false;
        }
        if (acting == null || acting.term() != term) {
            acting = replica.leader();
            actingSince = now;
            attempts.begin(term);
            awardTimes.clear();
            upgrades.clear();
            requested = null;
            machines.clear();
            exits.clear();
            terminated.clear();
            terminatedMachines.clear();
            assignment.begin(now);
            preemptionStops.clear();
            auction.clear();
            balancer.begin(now);
            log.accept("leads under term " + term);
        }
        return true;
    }

    /** A node's process seems to be down, or is heard of again. */
    public void suspect(long now, String node, boolean down) {
        health.suspect(now, node, down);
    }

    /** A node says whether workers reach it. */
    public void onWorkerReachability(long now, String node, boolean isolatedFromWorkers) {
        health.onWorkerReachability(node, isolatedFromWorkers);
        balancer.heard(now, node);
    }

    /** The load of the fleet as of the last pass of load balancing; empty for a node that doesn't lead, or while that is off. */
    public LoadSnapshot load() {
        return acting == null ? LoadSnapshot.EMPTY : balancer.load();
    }

    /** Tasks that this leader moved lately, oldest first; see {@link Move}. */
    public List<Move> recentMoves() {
        return acting == null ? List.of() : balancer.recent();
    }

    /** The numbers of the attempts that it places. */
    AttemptNumbers attempts() {
        return attempts;
    }

    /**
     * The transaction by which it steps down, or null. A leader that no machine is heard of under, although there are some,
     * makes room for one that may do better; one whose term has no numbers left needs a new term, its own or another's.
     */
    public Transaction resignation(long now) {
        if (attempts.isNearlyUsedUp() || assignment.isNearlyUsedUp()) {
            log.accept("steps down: the numbers of term " + acting.term() + " are used up");
            return stepDown();
        }
        long patience = 2 * config.controllerLeaseMs() + 4 * config.heartbeatIntervalMs();
        boolean isolatedFromWorkers = machines.values().stream().allMatch(m -> m.last.silent());
        if (!isolatedFromWorkers
                || machines.isEmpty()
                || replica.nodes().size() < 2
                || now - actingSince < patience
                || now < notBefore) {
            return null;
        }
        notBefore = now + 4 * patience;
        log.accept("steps down: no machine is heard of");
        return stepDown();
    }

    private Transaction stepDown() {
        return new Transaction()
                .guard(Keys.LEADER, replica.modRevision(Keys.LEADER))
                .delete(Keys.LEADER);
    }

    /**
     * Whether to depose the present leader before its lease ends. Safe at any time, since every transaction of a
     * leader is guarded by the key that this replaces; not to go on for ever between two nodes that refuse each
     * other, only a fresh suspicion counts: who outlives it by a lease wasn't down. Nor does one that was wrong a while
     * ago, or that is of all others at once: then it is the network, and the state service knows better who lives. A
     * leader that no worker reaches is no loss.
     */
    private boolean leaderIsDown(long now) {
        LeaderInfo l = replica.leader();
        if (l == null || !l.equals(leaderSeen)) {
            leaderSeen = l;
            leaderSeenAt = now;
        }
        if (l == null
                || !health.isIsolatedFromWorkers(l.node())
                        && (health.suspectsAll() || health.wasFalselySuspected(now, l.node()))) {
            return false;
        }
        return health.isFreshlySuspected(now, l.node()) && now - leaderSeenAt > 4 * config.controllerLeaseMs();
    }

    /**
     * The transaction that makes this node the leader, or null when there is one. The term comes from a counter
     * that the same transaction raises, so no two leaders share one.
     */
    public Transaction election(long now) {
        LeaderInfo l = replica.leader();
        boolean stale = l != null && l.node().equals(config.self()) && l.incarnation() != incarnation;
        boolean down = leaderIsDown(now);
        if (now < notBefore && replica.nodes().size() > 1) {
            return null;
        }
        if (l != null && !stale && !down) {
            return null;
        }
        // A leader key of this node's earlier process is replaced at once: a node runs one process at a time.
        long term = replica.termCounter() + 1;
        return new Transaction()
                .guard(Keys.LEADER, replica.modRevision(Keys.LEADER))
                .guard(Keys.TERM, replica.modRevision(Keys.TERM))
                .put(Keys.TERM, Records.term(term))
                .put(Keys.LEADER, Records.leader(new LeaderInfo(config.self(), incarnation, term)), incarnation);
    }

    /**
     * A transaction that changes nothing but the leader key's stamp. Sent after one whose outcome is unknown: once
     * it is in, the unknown one has either been applied, and the replica will show it, or never will be.
     */
    public Transaction fence() {
        return new Transaction()
                .guard(Keys.LEADER, replica.modRevision(Keys.LEADER))
                .put(Keys.LEADER, Records.leader(replica.leader()), incarnation);
    }

    public void onMachineStatus(long now, MachineStatus o) {
        PartitionLease lease = replica.partition(o.partition());
        if (acting == null || lease == null || lease.term() != o.term() || lease.incarnation() != o.incarnation()) {
            return;
        }
        balancer.heard(now, o.node());
        for (long attempt : o.terminated()) {
            terminated.put(attempt, new Exit(o.machine(), o.partition(), o.term(), attempt, null));
        }
        if (o.type().isEmpty() || terminatedMachines.contains(o.machine())) {
            return;
        }
        MachineState m = machines.computeIfAbsent(o.machine(), MachineState::new);
        m.observe(now, o, replica, estimator);
        for (TaskStatus t : o.tasks()) {
            if (t.exited()) {
                exits.put(t.attempt(), new Exit(o.machine(), o.partition(), o.term(), t.attempt(), t));
            }
        }
    }

    public void onBids(long now, BidBatch batch) {
        if (acting != null) {
            auction.onBatch(now, batch);
        }
    }

    /** The cloud answered a delete with 200, or lists the machine as failed: nothing is on it any more. */
    public void onMachineTerminated(String machine) {
        terminatedMachines.add(machine);
        machines.remove(machine);
    }

    /** A machine left the cloud's list long ago. Lists are late, so this frees nothing: it only ends an empty record. */
    public void onMachineVanished(String machine) {
        if (replica.placements(machine).isEmpty()) {
            onMachineTerminated(machine);
        }
    }

    /**
     * Forgets machines that nobody hears of and that hold nothing. Those that the cloud took before this leader's first
     * list leave no other trace; with them in the count too many would seem silent for any to be given up early.
     */
    private void forgetSilent(long now) {
        machines.values()
                .removeIf(m ->
                        m.last.silent() && replica.placements(m.id).isEmpty() && now - m.seen > 2 * config.leaseMs());
    }

    /** The next transaction, or null when there is nothing to change. */
    public Transaction plan(long now) {
        if (!leads(now)) {
            return null;
        }
        balancer.reconcile();
        Transaction upgrade = upgradeDue(now);
        if (upgrade != null) {
            return upgrade;
        }
        Transaction leases = assignment.plan(now, acting.term());
        if (leases != null) {
            return leases;
        }
        LogWriter.Limits limits = logLimits();
        TransactionDraft draft = new TransactionDraft(replica, QuotaUsage.of(config, replica), limits);
        reconcile(now, draft);
        int perMachine = Math.max(8, config.valueBytes() / 64);
        int before = attempts.given();
        new TaskPlacer(replica, auction, machines, perMachine, order, reserve, capacities, balancer.load())
                .award(now, now + wallOffset, draft, failures, () -> nextAttempt(now));
        if (now - evaluatedAt >= config.heartbeatIntervalMs() / 2) {
            evaluatedAt = now;
            forgetSilent(now);
            evaluateSpeed(now);
        }
        planStops(new SchedulingCycle(now, now + wallOffset, machines.values(), draft), attempts.given() == before);
        for (JobView job : replica.jobs()) {
            if (!job.live() && job.placedCount() == 0 && draft.hasRoomForEnd()) {
                draft.recordCancelled(job);
            }
        }
        return draft.isEmpty() ? null : draft.toTransaction();
    }

    private long nextAttempt(long now) {
        long attempt = attempts.next();
        awardTimes.add(now, attempt);
        return attempt;
    }

    /** Stops tasks for whatever reason there is; {@code awardedNothing}: nothing was placed in this turn. */
    private void planStops(SchedulingCycle turn, boolean awardedNothing) {
        drainStops.plan(turn);
        preemptionStops.plan(turn, awardedNothing);
        if (awardedNothing) {
            lateBidStops.plan(turn);
        }
        balancer.plan(turn);
    }

    /** What the active version allows a transaction to hold. */
    private LogWriter.Limits logLimits() {
        ClusterVersion version = replica.version();
        return new LogWriter.Limits(
                config.valueBytes(),
                config.transactionOps(),
                version.active(),
                version.isFinal() && version.active() > Layouts.FIRST);
    }

    /**
     * What an operator asks for. Where it can be carried out, the next transaction does so; that may fail, and asked for again
     * the same step is carried out or found done.
     */
    public UpgradeDecision upgrade(long now, UpgradeStep step) {
        if (!leads(now)) {
            return new UpgradeDecision.Refused("this controller isn't the leader");
        }
        UpgradeDecision decision = upgrades.decide(now, step);
        requested = decision instanceof UpgradeDecision.Commit ? step : null;
        return decision;
    }

    /** The change of the cluster's version that is due, or null. */
    private Transaction upgradeDue(long now) {
        upgrades.observe(now);
        if (requested != null) {
            UpgradeStep step = requested;
            requested = null;
            if (upgrades.decide(now, step) instanceof UpgradeDecision.Commit commit) {
                log.accept("an operator's " + step + ": version "
                        + commit.next().active() + ", floor " + commit.next().floor());
                return commit.transaction();
            }
        }
        if (!config.features().activatesWhenNeeded() || now - upgradeCheckedAt < config.leaseMs()) {
            return null;
        }
        upgradeCheckedAt = now;
        Transaction activation = upgrades.automatic(now);
        if (activation != null) {
            log.accept("activates version " + (replica.version().active() + 1) + ": the present one is about to be too"
                    + " small for what is stored");
        }
        return activation;
    }

    /** Finds the machines that are slow, and the jobs with tasks on them. */
    private void evaluateSpeed(long now) {
        Set<String> jobs = new HashSet<>();
        for (MachineState m : machines.values()) {
            List<Estimator.UnderWay> running = new ArrayList<>();
            for (Placement p : replica.placements(m.id)) {
                Long since = m.runningSince.get(p.attempt());
                JobView job = replica.job(p.task().job());
                if (since != null && job != null && job.live()) {
                    running.add(new Estimator.UnderWay(job.spec(), (now - since) / 1000.0));
                }
            }
            estimator.evaluate(m.id, running);
            if (estimator.machineFactor(m.id) > SLOW) {
                running.forEach(t -> jobs.add(t.job().id()));
                condemn(m, "is slow, about " + Math.round(10 * estimator.machineFactor(m.id)) / 10.0 + " times");
            }
        }
        lateJobs = jobs;
    }

    /** Takes a machine out of service, unless that would be one of too many: then it is rather something else. */
    private void condemn(MachineState m, String reason) {
        long out = machines.values().stream().filter(o -> o.decommissioned).count();
        if (!m.decommissioned && out < Math.max(1, machines.size() / 8)) {
            m.decommissioned = true;
            log.accept("machine " + m.id + " " + reason + ", and is given back");
        }
    }

    /** Started jobs for which late bids are wanted. */
    public List<String> lateJobs() {
        Set<String> jobs = new TreeSet<>(lateJobs);
        jobs.addAll(balancer.wanted());
        return List.copyOf(jobs);
    }

    /** Machines to be given back, with nothing on them any more. */
    public List<String> decommissioned() {
        List<String> ids = new ArrayList<>();
        for (MachineState m : machines.values()) {
            if (m.decommissioned && replica.placements(m.id).isEmpty()) {
                ids.add(m.id);
            }
        }
        return ids;
    }

    /** Milliseconds until planning again may lead to something without any news, or -1. */
    public long nextPlan(long now) {
        return auction.nextClose(now);
    }

    /** Frees what is proved to be over, and records what is done; whatever doesn't fit waits for the next transaction. */
    private void reconcile(long now, TransactionDraft draft) {
        for (Exit e : oldestFirst(exits)) {
            Placement p = placement(e.machine(), e.attempt());
            if (p == null) {
                exits.remove(e.attempt());
            } else if (isCurrent(e)) {
                if (!draft.hasRoom(true)) {
                    return;
                }
                JobView job = replica.job(p.task().job());
                draft.free(e.machine(), p);
                if (job != null
                        && job.live()
                        && e.task().cause() == ExitCause.DONE
                        && p.task().index() < job.spec().tasks()) {
                    draft.finish(job, p.task().index());
                }
                evaluate(now, e.machine(), p, e.task());
            }
        }
        for (Exit e : oldestFirst(terminated)) {
            Placement p = placement(e.machine(), e.attempt());
            if (p == null) {
                terminated.remove(e.attempt());
            } else if (isCurrent(e) && draft.placements(e.machine()).contains(p)) {
                if (!draft.hasRoom(true)) {
                    return;
                }
                draft.free(e.machine(), p);
                log.accept("task " + p.task() + " is gone from " + e.machine());
            }
        }
        for (String machine : terminatedMachines) {
            if (replica.placedZone(machine) == null) {
                continue;
            }
            if (!draft.hasRoom(true)) {
                return;
            }
            for (Placement p : List.copyOf(draft.placements(machine))) {
                draft.free(machine, p);
                log.accept("task " + p.task() + " is gone from " + machine);
            }
            draft.forget(machine);
        }
        preemptionStops.forgetEnded();
        failures.retain(job -> replica.job(job) != null);
    }

    private static List<Exit> oldestFirst(Long2ObjectHashMap<Exit> exits) {
        List<Exit> list = new ArrayList<>(exits.values());
        list.sort((a, b) -> Long.compare(a.attempt(), b.attempt()));
        return list;
    }

    private Placement placement(String machine, long attempt) {
        for (Placement p : replica.placements(machine)) {
            if (p.attempt() == attempt) {
                return p;
            }
        }
        return null;
    }

    private boolean isCurrent(Exit e) {
        PartitionLease lease = replica.partition(e.partition());
        return lease != null && lease.term() == e.term();
    }

    private void evaluate(long now, String machine, Placement p, TaskStatus t) {
        if (!failures.firstSight(p.attempt())) {
            return;
        }
        MachineState m = machines.get(machine);
        if (t.cause() == ExitCause.DONE) {
            failures.completed(p.task());
            if (m != null) {
                m.failed.clear();
                m.avoided = 0;
            }
            return;
        }
        log.accept(
                "task " + p.task() + " ended on " + machine + ": " + t.cause() + (t.checkpointed() ? ", saved" : ""));
        if (m == null) {
            return;
        }
        switch (t.cause()) {
            case ERROR, UNKNOWN_TASK -> {
                JobView job = replica.job(p.task().job());
                if (job != null && job.finishedCount() > 0) {
                    failures.sound(p.task().job());
                }
                boolean known = failures.isSuspect(p.task());
                if (!failures.failed(now, p.task(), machine)) {
                    blame(now, m, p.task());
                } else if (!known) {
                    log.accept("job " + p.task().job() + " fails wherever it runs, at last " + p.task() + " on "
                            + machine + ": it is tried rarely from now on");
                    machines.values().forEach(this::uncordon);
                    suspectNews = true;
                }
            }
            case NO_ROOM, BUSY, OTHER -> m.avoidUntil = Math.max(m.avoidUntil, now + config.heartbeatIntervalMs());
            default -> {}
        }
    }

    /**
     * A task failed that may be sound: the machine is avoided, longer each time that it fails after a pause, and given back
     * once several tasks failed of jobs that succeed elsewhere. A job that has completed nothing yet has no say in that:
     * hundreds of tasks of a bad submission fail before it is known for one.
     */
    private void blame(long now, MachineState m, TaskId task) {
        m.failed.add(task);
        if (now >= m.avoidUntil) {
            m.avoided++;
            m.avoidUntil = now + Math.min(32, 1L << m.avoided) * config.heartbeatIntervalMs();
        }
        if (m.failed.stream().filter(t -> failures.isSound(t.job())).count() >= FAILURES_TO_DECOMMISSION) {
            condemn(m, "fails its tasks");
        }
    }

    /** Takes back what was held against a machine for tasks that turn out to fail by themselves. */
    private void uncordon(MachineState m) {
        if (m.failed.removeIf(failures::isSuspect) && m.failed.isEmpty()) {
            m.avoided = 0;
            m.avoidUntil = Long.MIN_VALUE;
        }
    }

    /** Whether there are new ones among the jobs that fail wherever they run since this was last asked. */
    public boolean takeSuspectNews() {
        boolean news = suspectNews;
        suspectNews = false;
        return news;
    }

    /** Jobs that fail wherever they run: no machine is rented, stopped for or kept from bidding on their account. */
    public Set<String> suspects() {
        return failures.suspects();
    }
}

package garnetscale.core.lead;

import garnetscale.core.Params;
import garnetscale.core.balance.LoadSnapshot;
import garnetscale.core.balance.Move;
import garnetscale.core.bid.Auction;
import garnetscale.core.bid.BidBatch;
import garnetscale.core.bid.Estimator;
import garnetscale.core.block.BlockLease;
import garnetscale.core.block.Blocks;
import garnetscale.core.block.LeaderInfo;
import garnetscale.core.block.Observation;
import garnetscale.core.job.TaskId;
import garnetscale.core.line.JobOrder;
import garnetscale.core.machine.ExitCause;
import garnetscale.core.machine.Placement;
import garnetscale.core.machine.ReportedTask;
import garnetscale.core.quota.QuotaBook;
import garnetscale.core.store.FreeCapacityCache;
import garnetscale.core.store.JobView;
import garnetscale.core.store.Keys;
import garnetscale.core.store.Layouts;
import garnetscale.core.store.LogWriter;
import garnetscale.core.store.Records;
import garnetscale.core.store.StateReplica;
import garnetscale.core.store.Txn;
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
    private static final int SICK = 4;

    /** What a holder says of an attempt, under a block's term; {@code task} is null when it is gone without an exit. */
    private record Exit(String machine, String block, long term, long attempt, ReportedTask task) {}

    private final Params params;
    private final StateReplica replica;
    private final Auction auction;
    private Set<String> lateJobs = Set.of();
    private long judgedAt = Long.MIN_VALUE / 2;
    private final JobOrder order;
    private final Estimator estimator;
    private final Reserve reserve;
    private final FreeCapacityCache capacities;
    private final Consumer<String> log;
    private final Map<String, MachineState> machines = new LinkedHashMap<>();
    private final Long2ObjectHashMap<Exit> exits = new Long2ObjectHashMap<>();
    /** Attempts that a holder calls gone, with the block term that it says so under. */
    private final Long2ObjectHashMap<Exit> gone = new Long2ObjectHashMap<>();
    /** Machines that the cloud says are gone for good. */
    private final Set<String> dead = new HashSet<>();

    private final Failures failures = new Failures();
    private boolean suspectNews;
    private final PeerHealth health;
    private final BlockAssignment assignment;

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

    public Leader(Params params, StateReplica replica, Blocks blocks, Consumer<String> log) {
        this.params = params;
        this.replica = replica;
        this.health = new PeerHealth(params, replica, log);
        this.assignment = new BlockAssignment(params, replica, blocks, health, machines.values(), log);
        this.log = log;
        this.order = new JobOrder(params);
        this.estimator = new Estimator(params.reportMs());
        this.reserve = new Reserve(params);
        this.capacities = new FreeCapacityCache(replica);
        this.auction = new Auction(replica, params.windowMs());
        this.awardTimes = new AwardTimes(params.reportMs());
        this.drainStops = new DrainStops(replica, estimator, params.reportMs(), log);
        this.preemptionStops = new PreemptionStops(params, replica, auction, estimator, order, reserve, failures, log);
        this.lateBidStops = new LateBidStops(replica, auction, estimator, machines, log);
        this.balancer = new Balancer(
                params, replica, auction, estimator, order, failures, machines, capacities, awardTimes, log);
        this.upgrades =
                new UpgradeCoordinator(replica, params.features().layouts(), params.settleMs(), params.valueBytes());
    }

    public void incarnate(long lease) {
        incarnation = lease;
    }

    public void wallClock(long offset) {
        wallOffset = offset;
    }

    /** The term that this process leads under by the replica, or -1. */
    public long leadingTerm() {
        LeaderInfo l = replica.leader();
        return l != null && l.node().equals(params.self()) && l.incarnation() == incarnation ? l.term() : -1;
    }

    /** What the holders last said of each machine. */
    public Collection<Observation> machines() {
        List<Observation> list = new ArrayList<>(machines.size());
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
            gone.clear();
            dead.clear();
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
    public void hears(long now, String node, boolean deaf) {
        health.hears(node, deaf);
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
    public Txn resignation(long now) {
        if (attempts.isNearlyUsedUp() || assignment.isNearlyUsedUp()) {
            log.accept("steps down: the numbers of term " + acting.term() + " are used up");
            return stepDown();
        }
        long patience = 2 * params.nodeTtlMs() + 4 * params.reportMs();
        boolean deaf = machines.values().stream().allMatch(m -> m.last.silent());
        if (!deaf
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

    private Txn stepDown() {
        return new Txn().guard(Keys.LEADER, replica.stamp(Keys.LEADER)).delete(Keys.LEADER);
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
                || !health.isDeaf(l.node()) && (health.suspectsAll() || health.wasFalselySuspected(now, l.node()))) {
            return false;
        }
        return health.isFreshlySuspected(now, l.node()) && now - leaderSeenAt > 4 * params.nodeTtlMs();
    }

    /**
     * The transaction that makes this node the leader, or null when there is one. The term comes from a counter
     * that the same transaction raises, so no two leaders share one.
     */
    public Txn election(long now) {
        LeaderInfo l = replica.leader();
        boolean stale = l != null && l.node().equals(params.self()) && l.incarnation() != incarnation;
        boolean down = leaderIsDown(now);
        if (now < notBefore && replica.nodes().size() > 1) {
            return null;
        }
        if (l != null && !stale && !down) {
            return null;
        }
        // A leader key of this node's earlier process is replaced at once: a node runs one process at a time.
        long term = replica.termCounter() + 1;
        return new Txn()
                .guard(Keys.LEADER, replica.stamp(Keys.LEADER))
                .guard(Keys.TERM, replica.stamp(Keys.TERM))
                .put(Keys.TERM, Records.term(term))
                .put(Keys.LEADER, Records.leader(new LeaderInfo(params.self(), incarnation, term)), incarnation);
    }

    /**
     * A transaction that changes nothing but the leader key's stamp. Sent after one whose outcome is unknown: once
     * it is in, the unknown one has either been applied, and the replica will show it, or never will be.
     */
    public Txn fence() {
        return new Txn()
                .guard(Keys.LEADER, replica.stamp(Keys.LEADER))
                .put(Keys.LEADER, Records.leader(replica.leader()), incarnation);
    }

    public void onObservation(long now, Observation o) {
        BlockLease lease = replica.block(o.block());
        if (acting == null || lease == null || lease.term() != o.term() || lease.incarnation() != o.incarnation()) {
            return;
        }
        balancer.heard(now, o.node());
        for (long attempt : o.gone()) {
            gone.put(attempt, new Exit(o.machine(), o.block(), o.term(), attempt, null));
        }
        if (o.type().isEmpty() || dead.contains(o.machine())) {
            return;
        }
        MachineState m = machines.computeIfAbsent(o.machine(), MachineState::new);
        m.observe(now, o, replica, estimator);
        for (ReportedTask t : o.tasks()) {
            if (t.exited()) {
                exits.put(t.attempt(), new Exit(o.machine(), o.block(), o.term(), t.attempt(), t));
            }
        }
    }

    public void onBids(long now, BidBatch batch) {
        if (acting != null) {
            auction.onBatch(now, batch);
        }
    }

    /** The cloud answered a delete with 200, or lists the machine as failed: nothing is on it any more. */
    public void onMachineDead(String machine) {
        dead.add(machine);
        machines.remove(machine);
    }

    /** A machine left the cloud's list long ago. Lists are late, so this frees nothing: it only ends an empty record. */
    public void onMachineVanished(String machine) {
        if (replica.placements(machine).isEmpty()) {
            onMachineDead(machine);
        }
    }

    /**
     * Forgets machines that nobody hears of and that hold nothing. Those that the cloud took before this leader's first
     * list leave no other trace; with them in the count too many would seem silent for any to be given up early.
     */
    private void forgetSilent(long now) {
        machines.values()
                .removeIf(m ->
                        m.last.silent() && replica.placements(m.id).isEmpty() && now - m.seen > 2 * params.leaseMs());
    }

    /** The next transaction, or null when there is nothing to change. */
    public Txn plan(long now) {
        if (!leads(now)) {
            return null;
        }
        balancer.settle();
        Txn upgrade = upgradeDue(now);
        if (upgrade != null) {
            return upgrade;
        }
        Txn leases = assignment.plan(now, acting.term());
        if (leases != null) {
            return leases;
        }
        LogWriter.Limits limits = logLimits();
        Draft draft = new Draft(replica, QuotaBook.of(params, replica), limits);
        settle(now, draft);
        int perMachine = Math.max(8, params.valueBytes() / 64);
        int before = attempts.given();
        new Awards(replica, auction, machines, perMachine, order, reserve, capacities, balancer.load())
                .award(now, now + wallOffset, draft, failures, () -> nextAttempt(now));
        if (now - judgedAt >= params.reportMs() / 2) {
            judgedAt = now;
            forgetSilent(now);
            judgeSpeed(now);
        }
        planStops(new Turn(now, now + wallOffset, machines.values(), draft), attempts.given() == before);
        for (JobView job : replica.jobs()) {
            if (!job.live() && job.placedCount() == 0 && draft.hasRoomForEnd()) {
                draft.archiveCancelled(job);
            }
        }
        return draft.isEmpty() ? null : draft.toTxn();
    }

    private long nextAttempt(long now) {
        long attempt = attempts.next();
        awardTimes.add(now, attempt);
        return attempt;
    }

    /** Stops tasks for whatever reason there is; {@code awardedNothing}: nothing was placed in this turn. */
    private void planStops(Turn turn, boolean awardedNothing) {
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
                params.valueBytes(),
                params.txnOps(),
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
    private Txn upgradeDue(long now) {
        upgrades.observe(now);
        if (requested != null) {
            UpgradeStep step = requested;
            requested = null;
            if (upgrades.decide(now, step) instanceof UpgradeDecision.Commit commit) {
                log.accept("an operator's " + step + ": version "
                        + commit.next().active() + ", floor " + commit.next().floor());
                return commit.txn();
            }
        }
        if (!params.features().activatesWhenNeeded() || now - upgradeCheckedAt < params.leaseMs()) {
            return null;
        }
        upgradeCheckedAt = now;
        Txn activation = upgrades.automatic(now);
        if (activation != null) {
            log.accept("activates version " + (replica.version().active() + 1) + ": the present one is about to be too"
                    + " small for what is stored");
        }
        return activation;
    }

    /** Finds the machines that are slow, and the jobs with tasks on them. */
    private void judgeSpeed(long now) {
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
            estimator.judge(m.id, running);
            if (estimator.machineFactor(m.id) > SLOW) {
                running.forEach(t -> jobs.add(t.job().id()));
                condemn(m, "is slow, about " + Math.round(10 * estimator.machineFactor(m.id)) / 10.0 + " times");
            }
        }
        lateJobs = jobs;
    }

    /** Takes a machine out of service, unless that would be one of too many: then it is rather something else. */
    private void condemn(MachineState m, String why) {
        long out = machines.values().stream().filter(o -> o.condemned).count();
        if (!m.condemned && out < Math.max(1, machines.size() / 8)) {
            m.condemned = true;
            log.accept("machine " + m.id + " " + why + ", and is given back");
        }
    }

    /** Started jobs for which late bids are wanted. */
    public List<String> lateJobs() {
        Set<String> jobs = new TreeSet<>(lateJobs);
        jobs.addAll(balancer.wanted());
        return List.copyOf(jobs);
    }

    /** Machines to be given back, with nothing on them any more. */
    public List<String> condemned() {
        List<String> ids = new ArrayList<>();
        for (MachineState m : machines.values()) {
            if (m.condemned && replica.placements(m.id).isEmpty()) {
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
    private void settle(long now, Draft draft) {
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
                judge(now, e.machine(), p, e.task());
            }
        }
        for (Exit e : oldestFirst(gone)) {
            Placement p = placement(e.machine(), e.attempt());
            if (p == null) {
                gone.remove(e.attempt());
            } else if (isCurrent(e) && draft.placements(e.machine()).contains(p)) {
                if (!draft.hasRoom(true)) {
                    return;
                }
                draft.free(e.machine(), p);
                log.accept("task " + p.task() + " is gone from " + e.machine());
            }
        }
        for (String machine : dead) {
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
        BlockLease lease = replica.block(e.block());
        return lease != null && lease.term() == e.term();
    }

    private void judge(long now, String machine, Placement p, ReportedTask t) {
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
        log.accept("task " + p.task() + " ended on " + machine + ": " + t.cause() + (t.saved() ? ", saved" : ""));
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
                    machines.values().forEach(this::forgive);
                    suspectNews = true;
                }
            }
            case NO_ROOM, BUSY, OTHER -> m.avoidUntil = Math.max(m.avoidUntil, now + params.reportMs());
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
            m.avoidUntil = now + Math.min(32, 1L << m.avoided) * params.reportMs();
        }
        if (m.failed.stream().filter(t -> failures.isSound(t.job())).count() >= SICK) {
            condemn(m, "fails its tasks");
        }
    }

    /** Takes back what was held against a machine for tasks that turn out to fail by themselves. */
    private void forgive(MachineState m) {
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

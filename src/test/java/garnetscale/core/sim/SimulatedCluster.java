package garnetscale.core.sim;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.job.JobRecord;
import garnetscale.core.job.JobSpec;
import garnetscale.core.job.JobState;
import garnetscale.core.job.Priority;
import garnetscale.core.job.TaskId;
import garnetscale.core.job.TestJob;
import garnetscale.core.machine.MachineType;
import garnetscale.core.machine.WorkerHeartbeat;
import garnetscale.core.partition.PartitionMap;
import garnetscale.core.state.Keys;
import garnetscale.core.state.Records;
import garnetscale.core.state.StateReplica;
import garnetscale.core.state.Transaction;
import garnetscale.core.upgrade.UpgradeDecision;
import garnetscale.core.upgrade.UpgradeStep;
import garnetscale.core.upgrade.VersionRange;
import garnetscale.emulator.StateLimits;
import garnetscale.emulator.StateModel;
import garnetscale.net.TokenBucket;
import garnetscale.timeline.Timeline;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Controllers' cores, workers and a state service in one simulated time. Messages are delayed, lost, repeated and
 * held for minutes; nodes crash and come back; anything can be cut off. Everything follows from the seed.
 */
final class SimulatedCluster extends Timeline {

    static final MachineType TYPE = new MachineType("t", 8, 0, 32, 20, 1, 1, 0.5, 20, List.of("a", "b", "c"));
    static final long REPORT = 1000;
    static final long LEASE = 10_000;
    static final long CANCEL = 35_000;
    /** Small, so that a listing takes many requests. */
    static final int PAGE = 15;
    /** The state service's answer to a change above its rate. */
    static final int TOO_MANY = 429;
    /** The part of the rate that a leader uses. */
    static final double LEADER_SHARE = 0.675;
    /** What the state service takes in one transaction, and in one value. */
    private static final int TRANSACTION_OPS = 24;

    private static final int TRANSACTION_BYTES = 64 * 1024;

    /** A deliberate mistake, to show that the rules are watched. */
    enum Fault {
        NONE,
        FREE_UNSEEN
    }

    final Rules rules;
    final StateModel state;
    final List<SimulatedNode> nodes = new ArrayList<>();
    final List<SimulatedWorker> workers = new ArrayList<>();
    /** Jobs that were submitted with a mistake: their tasks fail wherever they run. */
    final Set<String> broken = new HashSet<>();

    private final Map<String, Long> cutUntil = new HashMap<>();
    final Map<String, Long> frozenUntil = new HashMap<>();
    final Map<String, VersionRange> installed = new HashMap<>();
    private final Map<String, SimulatedWorker> byId = new HashMap<>();
    private final Map<String, String> zones = new HashMap<>();
    private final StateReplica observer = new StateReplica();
    private final Map<String, Long> refusedUntil = new HashMap<>();
    final List<WorkerHeartbeat> kept = new ArrayList<>();
    private final Map<String, Long> partitionTerms = new HashMap<>();
    private final Map<String, Long> partitionMovedAt = new HashMap<>();
    final Fault fault;
    final ClusterShape shape;
    long outageUntil;
    long copiesUntil;
    double loss = 0.002;
    /** Besides following by short requests, nodes watch by ones that hang open, also through a refusal. */
    boolean watches;
    /** Told of each transaction of a controller that was applied. */
    Consumer<Transaction> onStored = transaction -> {};
    /** Told of each decision of a controller. */
    DecisionObserver decisions = DecisionObserver.NONE;
    /** Controllers on which load balancing is off from their next start on. */
    final Set<String> unbalanced = new HashSet<>();
    /** Told what a controller's leader logs. */
    BiConsumer<String, String> onLog = (node, line) -> {};
    /** Told of each start that a holder sends, with its machine. */
    BiConsumer<String, TaskId> onStartSent = (machine, task) -> {};
    /** Share of cancellations of which the peers aren't told: their links are down just then. */
    double wordLoss;
    /** The changes a second that the state service takes, and what was refused beyond it; unbounded unless set. */
    private TokenBucket writes = new TokenBucket(Double.MAX_VALUE, Double.MAX_VALUE, 0);

    SchedulerConfig paced;
    int refusedWrites;
    /** Until then reports are kept, and so long after a new leader's beginning their copies reach every controller. */
    long keepUntil;

    long keptDelay;
    private long ledTerm;
    /** Until then this share of transactions gets no answer: carried out at once, or 2 to 12 s late. */
    long lateUntil;

    double lateShare;
    boolean lateAtOnce;
    /** Until then an answer of the state service takes so much longer. */
    long slowUntil;

    int slowMs;
    /** Until then these machines reach no controller, while direct requests reach them. */
    final Map<String, Long> muteUntil = new HashMap<>();

    SimulatedCluster(long seed, Fault fault, ClusterShape shape) {
        super(seed);
        this.fault = fault;
        this.shape = shape;
        this.state = new StateModel(new StateLimits(shape.valueBytes(), TRANSACTION_OPS, TRANSACTION_BYTES));
        this.rules = new Rules(Map.of("red", shape.red(), "blue", shape.blue()), zones, CANCEL, () -> now);
        state.commit(new Transaction().put(Keys.TYPES, Records.types(shape.types())));
        observer.reset(state.list(Keys.MIRRORED, null, 10), state.revision());
        rules.placed =
                (machine, attempt) -> stored().placements(machine).stream().anyMatch(p -> p.attempt() == attempt);
        for (int i = 0; i < shape.nodes(); i++) {
            nodes.add(new SimulatedNode(this, "n" + i));
        }
        for (int i = 0; i < shape.workers(); i++) {
            bring(i);
        }
        every(250, this::sweep);
    }

    /** From now on the state service refuses more changes a second than the settings say, and leaders pace themselves. */
    void limitWrites() {
        paced = shape.config("n0");
        writes = new TokenBucket(paced.stateWritesPerS(), paced.stateWritesPerS(), now);
    }

    /** What a node's process supports from its next start on. */
    void install(String node, VersionRange layouts) {
        installed.put(node, layouts);
    }

    /** Has an operator ask whichever node believes that it leads. */
    UpgradeDecision upgrade(UpgradeStep step) {
        SimulatedNode node =
                nodes.stream().filter(n -> n.name.equals(leader())).findFirst().orElseThrow();
        return node.up ? node.leader.upgrade(now, step) : new UpgradeDecision.Refused("it is down");
    }

    int commit(SimulatedNode by, Transaction transaction) {
        int active = stored().version().active();
        int status = commit(transaction);
        if (status == 200 && !transaction.ops().isEmpty() && !by.layouts.contains(active)) {
            rules.broken.add(now + " wrote outside its versions: " + by.name + " supports " + by.layouts + ", " + active
                    + " was active");
        }
        int next = stored().version().active();
        if (next > active) {
            stored().nodes().stream()
                    .filter(node -> !node.layouts().contains(next))
                    .forEach(node -> rules.broken.add(now + " activated " + next + " over " + node));
        }
        return status;
    }

    private int commit(Transaction transaction) {
        if (!writes.take(now, transaction.ops().size())) {
            refusedWrites++;
            return TOO_MANY;
        }
        int status = state.commit(transaction);
        if (status == 200) {
            onStored.accept(transaction);
        }
        return status;
    }

    /** A machine is up from now on. */
    SimulatedWorker bring(int i) {
        String id = String.format(Locale.ROOT, "m-%06d", i);
        zones.put(id, shape.zone(i));
        SimulatedWorker w = new SimulatedWorker(this, id, shape.type(i), shape.zone(i));
        workers.add(w);
        byId.put(w.id, w);
        return w;
    }

    /** What is stored at this moment. */
    StateReplica stored() {
        observer.advance(state.changes(Keys.MIRRORED, observer.revision()), state.revision());
        return observer;
    }

    // ---- time

    private void sweep() {
        if (now >= outageUntil) {
            state.expire(now);
        }
        for (SimulatedWorker w : workers) {
            if (isFrozen(w.id)) {
                // PROTOCOL: a machine that hangs may go on within its lease, and not after it.
                w.model.expire(now);
            } else {
                w.model.advance(now);
            }
        }
        rules.check();
        StateReplica m = stored();
        if (m.leader() != null && m.leader().term() != ledTerm) {
            ledTerm = m.leader().term();
            met("leader changed");
            deliverKept();
        }
        for (String partition : new PartitionMap(shape.config("n0")).all()) {
            long term =
                    m.partition(partition) == null ? 0 : m.partition(partition).term();
            Long before = partitionTerms.put(partition, term);
            if (before != null && before != term) {
                partitionMovedAt.put(partition, now);
            }
        }
    }

    /** Old reports reach every controller, and nobody reads the answers. */
    private void deliverKept() {
        for (WorkerHeartbeat r : kept) {
            for (SimulatedNode n : nodes) {
                at(keptDelay + random.nextInt(400), () -> {
                    met("old heartbeat at a new leader");
                    n.onHeartbeat(r, reply -> {});
                });
            }
        }
        kept.clear();
    }

    // ---- network

    void cut(String who, long ms) {
        cutUntil.put(who, now + ms);
    }

    /** The node loses the state service and the other nodes, both ways, and keeps its workers. */
    void cutFromAllButWorkers(String node, long ms) {
        cut(node + ">state", ms);
        cut("state>" + node, ms);
        for (SimulatedNode other : nodes) {
            cut(node + ">" + other.name, ms);
            cut(other.name + ">" + node, ms);
        }
    }

    /** A zone with its workers and controllers is cut off from everything else. */
    void cutZone(String zone, long ms) {
        List<String> inside = new ArrayList<>();
        List<String> outside = new ArrayList<>(List.of("state"));
        workers.forEach(w -> (zones.get(w.id).equals(zone) ? inside : outside).add(w.id));
        nodes.forEach(n -> (shape.config(n.name).zoneOfNode(n.name).equals(zone) ? inside : outside).add(n.name));
        for (String a : inside) {
            for (String b : outside) {
                cut(a + ">" + b, ms);
                cut(b + ">" + a, ms);
            }
        }
    }

    /** Reports of the machine arrive; answers and direct requests to it are lost. */
    void deafen(String worker, long ms) {
        nodes.forEach(n -> cut(n.name + ">" + worker, ms));
    }

    /** The node loses the other nodes, both ways, and nothing else. */
    void cutFromPeers(String node, long ms) {
        for (SimulatedNode other : nodes) {
            if (!other.name.equals(node)) {
                cut(node + ">" + other.name, ms);
                cut(other.name + ">" + node, ms);
            }
        }
    }

    void crash(String node, int downMs) {
        nodes.stream().filter(n -> n.name.equals(node) && n.up).findFirst().ifPresent(n -> n.crash(downMs));
    }

    /** This share of transactions gets no answer: they are carried out at once, or 2 to 12 s late. */
    void late(long ms, double share, boolean atOnce) {
        lateUntil = now + ms;
        lateShare = share;
        lateAtOnce = atOnce;
    }

    String zoneOf(String worker) {
        return zones.get(worker);
    }

    /** The type of a machine. */
    String typeOf(String worker) {
        return shape.type(PartitionMap.number(worker)).name();
    }

    long leaderTerm() {
        return stored().leader() == null ? -1 : stored().leader().term();
    }

    /** The node that a machine reports to at the moment. */
    String reportsTo(String worker) {
        return nodes.get(byId.get(worker).target() % nodes.size()).name;
    }

    void mute(String worker, long ms) {
        muteUntil.put(worker, now + ms);
    }

    /** The state service refuses this node alone. */
    void refuse(String node, long ms) {
        refusedUntil.put(node, now + ms);
    }

    boolean refuses(String node) {
        return now < outageUntil || now < refusedUntil.getOrDefault(node, 0L);
    }

    void outage(long ms) {
        outageUntil = now + ms;
        at(ms, () -> state.refreshLeases(now));
    }

    /** The cloud is about to take the machine, which reports so from now on. */
    void drain(String worker, double evictionNoticeS) {
        byId.get(worker).model.evictionNotice(evictionNoticeS);
    }

    /** The machine stands still, and goes on where it was. */
    void hang(String worker, long ms) {
        if (!isFrozen(worker)) {
            byId.get(worker).model.advance(now);
            freeze(worker, ms);
            at(ms, () -> byId.get(worker).model.goOn(now, ms));
        }
    }

    boolean isFrozen(String who) {
        return now < frozenUntil.getOrDefault(who, 0L);
    }

    /** The node that holds a machine's block by what is stored. */
    String holderOf(String worker) {
        PartitionMap b = new PartitionMap(shape.config("n0"));
        var lease = stored().partition(b.partitionOf(worker, zones.get(worker)));
        return lease == null ? "" : lease.owner();
    }

    /** How long ago a machine's block last got a new term. */
    long sinceMoved(String worker) {
        return now
                - partitionMovedAt.getOrDefault(
                        new PartitionMap(shape.config("n0")).partitionOf(worker, zones.get(worker)),
                        Long.MIN_VALUE / 2);
    }

    /** A node that believes that it leads, or any when none does. */
    String leader() {
        return nodes.stream()
                .filter(n -> n.up && n.leader.leadingTerm() >= 0)
                .findFirst()
                .orElse(nodes.get(0))
                .name;
    }

    /** The node stands still while time goes on: what comes waits for it, and its timers fire afterwards. */
    void freeze(String node, long ms) {
        frozenUntil.put(node, now + ms);
    }

    void thawed(String who, Runnable run) {
        long left = frozenUntil.getOrDefault(who, 0L) - now;
        if (left > 0) {
            at(left + random.nextInt(20), run);
        } else {
            run.run();
        }
    }

    private boolean isCut(String a, String b) {
        return now < cutUntil.getOrDefault(a, 0L)
                || now < cutUntil.getOrDefault(b, 0L)
                || now < cutUntil.getOrDefault(a + ">" + b, 0L);
    }

    /**
     * Sends a message one way. During a cut it is held and delivered after it; now and then one is lost, or comes
     * twice, the second time much later.
     */
    void send(String from, String to, Runnable receive) {
        Runnable deliver = () -> thawed(to, receive);
        long delay = 1 + random.nextInt(random.nextInt(20) == 0 ? 300 : 6);
        if (isCut(from, to)) {
            if (random.nextBoolean()) {
                long end = Math.max(
                        cutUntil.getOrDefault(from, 0L),
                        Math.max(cutUntil.getOrDefault(to, 0L), cutUntil.getOrDefault(from + ">" + to, 0L)));
                at(end - now + delay, deliver);
            }
            return;
        }
        if (random.nextDouble() < loss) {
            return;
        }
        at(delay, deliver);
        if (random.nextInt(200) == 0) {
            at(delay + random.nextInt(60_000), deliver);
        }
    }

    // ---- users

    void submit(String id, String team, int tasks, double cpus, double seconds) {
        submit(id, team, Priority.NORMAL, tasks, cpus, seconds, false);
    }

    void submit(
            String id, String team, Priority priority, int tasks, double cpus, double seconds, boolean zoneAffinity) {
        submit(TestJob.named(id)
                .team(team)
                .priority(priority)
                .tasks(tasks)
                .cpus(cpus)
                .zoneAffinity(zoneAffinity)
                .imageGb(0.5)
                .estimateS(seconds)
                .build());
    }

    void submit(JobSpec job) {
        String id = job.id();
        rules.jobs.put(id, job);
        state.commit(new Transaction()
                .guard(Keys.job(id), 0)
                .put(Keys.job(id), Records.job(new JobRecord(job, JobState.LIVE, now))));
        rules.told(id, "LIVE");
    }

    void cancel(String id) {
        StateModel.Entry e = state.get(Keys.job(id));
        if (e == null || now < outageUntil) {
            return;
        }
        JobRecord r = Records.job(id, e.value());
        state.commit(new Transaction()
                .guard(Keys.job(id), e.modRevision())
                .put(Keys.job(id), Records.job(r.withState(JobState.CANCELLED))));
        rules.told(id, "CANCELLED");
    }

    /** A user cancels at a node, which tells its peers as soon as it is stored. */
    boolean cancelAt(String node, String id) {
        if (refuses(node) || state.get(Keys.job(id)) == null) {
            return false;
        }
        cancel(id);
        if (random.nextDouble() >= wordLoss) {
            nodes.stream().filter(n -> n.name.equals(node) && n.up).forEach(n -> n.peers(p -> p.owner.onCancelled(id)));
        }
        return true;
    }

    /** What users would be told now; true when the job is over. */
    boolean poll(String id) {
        StateModel.Entry over = state.get(Keys.terminalJob(id));
        if (over != null) {
            rules.told(id, Records.terminalJob(over.value()).state().name());
            return true;
        }
        StateModel.Entry e = state.get(Keys.job(id));
        if (e == null) {
            rules.broken.add(now + " forgotten: " + id);
            return true;
        }
        rules.told(id, Records.job(id, e.value()).state().name());
        return false;
    }

    SimulatedWorker worker(String id) {
        return byId.get(id);
    }
}

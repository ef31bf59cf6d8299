package garnetscale.core.sim;

import garnetscale.core.Times;
import garnetscale.core.cluster.PartitionMap;
import garnetscale.core.job.TaskId;
import garnetscale.core.machine.MachineType;
import garnetscale.core.machine.WorkerHeartbeat;
import garnetscale.core.state.Keys;
import garnetscale.core.state.Records;
import garnetscale.core.state.StateReplica;
import garnetscale.core.state.Transaction;
import garnetscale.core.upgrade.UpgradeDecision;
import garnetscale.core.upgrade.UpgradeStep;
import garnetscale.core.upgrade.VersionRange;
import garnetscale.timeline.Timeline;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;

/**
 * Controllers' cores, workers, users and a key-value store in one simulated time. Messages are delayed, lost, repeated and held
 * for minutes; nodes crash and come back; anything can be isolated. Everything follows from the seed.
 */
final class SimulatedCluster extends Timeline {

    static final MachineType TYPE = new MachineType("t", 8, 0, 32, 20, 1, 1, 0.5, 20, List.of("a", "b", "c"));
    static final long HEARTBEAT = 1000;
    static final long LEASE = 10_000;
    static final long CANCEL = 35_000;
    /** Entries on a page: few, so that a listing takes many requests. */
    static final int PAGE = 15;
    /** The part of the rate that a leader uses. */
    static final double LEADER_SHARE = 0.675;

    /** A deliberate fault, to show that violations are found. */
    enum Fault {
        NONE,
        FREE_UNSEEN
    }

    final ProtocolRules rules;
    final SimulatedStateService state;
    final SimulatedNetwork network = new SimulatedNetwork(this);
    final SimulatedUsers users = new SimulatedUsers(this);
    final List<SimulatedNode> nodes = new ArrayList<>();
    final List<SimulatedWorker> workers = new ArrayList<>();
    /** Jobs whose tasks fail wherever they run. */
    final Set<String> failingJobs = new HashSet<>();

    final Map<String, VersionRange> installed = new HashMap<>();
    private final Map<String, SimulatedWorker> byId = new HashMap<>();
    private final Map<String, String> zones = new HashMap<>();
    private final StateReplica observer = new StateReplica();
    final List<WorkerHeartbeat> kept = new ArrayList<>();
    private final Map<String, Long> partitionTerms = new HashMap<>();
    private final Map<String, Long> partitionMovedAt = new HashMap<>();
    final Fault fault;
    final ClusterShape shape;
    long copiesUntil;
    /** Whether nodes also follow the key-value store by watches, which stay open through a refusal. */
    boolean watches;
    /** Told of each decision of a controller. */
    DecisionObserver decisions = DecisionObserver.NONE;
    /** Controllers on which load balancing is off from their next start on. */
    final Set<String> unbalanced = new HashSet<>();
    /** Told what a controller's leader logs. */
    BiConsumer<String, String> onLog = (node, line) -> {};
    /** Told of each start command that a partition owner sends, with its machine. */
    BiConsumer<String, TaskId> onStartSent = (machine, task) -> {};
    /** Until then heartbeats are kept; copies of them reach every controller {@link #keptDelay} after a new leader's election. */
    long keepUntil;

    long keptDelay;
    private long ledTerm;

    SimulatedCluster(long seed, Fault fault, ClusterShape shape) {
        super(seed);
        this.fault = fault;
        this.shape = shape;
        this.state = new SimulatedStateService(this, shape.valueBytes());
        this.rules = new ProtocolRules(Map.of("red", shape.red(), "blue", shape.blue()), zones, CANCEL, () -> now);
        state.model.commit(new Transaction().put(Keys.TYPES, Records.types(shape.types())));
        observer.reset(state.model.list(Keys.REPLICATED, null, 10), state.model.revision());
        rules.placed = (machine, attempt) ->
                stored().placements(machine).stream().anyMatch(placement -> placement.attempt() == attempt);
        for (int i = 0; i < shape.nodes(); i++) {
            nodes.add(new SimulatedNode(this, "n" + i));
        }
        for (int i = 0; i < shape.workers(); i++) {
            bring(i);
        }
        every(250, this::sweep);
    }

    /** What a node's process supports from its next start on. */
    void install(String node, VersionRange layouts) {
        installed.put(node, layouts);
    }

    /** Has an operator ask whichever node believes that it leads. */
    UpgradeDecision upgrade(UpgradeStep step) {
        SimulatedNode node = nodes.stream()
                .filter(controller -> controller.name.equals(leader()))
                .findFirst()
                .orElseThrow();
        return node.up ? node.leader.upgrade(now, step) : new UpgradeDecision.Refused("it is down");
    }

    /** Starts a machine. */
    SimulatedWorker bring(int number) {
        String id = String.format(Locale.ROOT, "m-%06d", number);
        zones.put(id, shape.zone(number));
        SimulatedWorker worker = new SimulatedWorker(this, id, shape.type(number), shape.zone(number));
        workers.add(worker);
        byId.put(worker.id, worker);
        return worker;
    }

    /** What is stored at this moment. */
    StateReplica stored() {
        observer.advance(state.model.changes(Keys.REPLICATED, observer.revision()), state.model.revision());
        return observer;
    }

    private void sweep() {
        if (now >= state.outageUntil) {
            state.model.expire(now);
        }
        for (SimulatedWorker worker : workers) {
            if (network.isFrozen(worker.id)) {
                // PROTOCOL: a machine that hangs may go on within its lease, and not after it.
                worker.model.expire(now);
            } else {
                worker.model.advance(now);
            }
        }
        rules.check();
        StateReplica stored = stored();
        if (stored.leader() != null && stored.leader().term() != ledTerm) {
            ledTerm = stored.leader().term();
            countOccurrence("leader changed");
            deliverKept();
        }
        for (String partition : new PartitionMap(shape.config("n0")).all()) {
            long term = stored.partition(partition) == null
                    ? 0
                    : stored.partition(partition).term();
            Long before = partitionTerms.put(partition, term);
            if (before != null && before != term) {
                partitionMovedAt.put(partition, now);
            }
        }
    }

    /** Delivers old heartbeats to every controller; nobody reads the answers. */
    private void deliverKept() {
        for (WorkerHeartbeat heartbeat : kept) {
            for (SimulatedNode node : nodes) {
                at(keptDelay + random.nextInt(400), () -> {
                    countOccurrence("old heartbeat at a new leader");
                    node.onHeartbeat(heartbeat, reply -> {});
                });
            }
        }
        kept.clear();
    }

    void crash(String node, int downMs) {
        nodes.stream()
                .filter(controller -> controller.name.equals(node) && controller.up)
                .findFirst()
                .ifPresent(controller -> controller.crash(downMs));
    }

    String zoneOf(String worker) {
        return zones.get(worker);
    }

    /** The type of a machine. */
    String typeOf(String worker) {
        return shape.type(PartitionMap.machineNumber(worker)).name();
    }

    long leaderTerm() {
        return stored().leader() == null ? -1 : stored().leader().term();
    }

    /** The node that a machine sends its heartbeats to. */
    String heartbeatTarget(String worker) {
        return nodes.get(byId.get(worker).target() % nodes.size()).name;
    }

    /** The cloud is about to preempt the machine, whose heartbeats say so from now on. */
    void drain(String worker, double evictionNoticeS) {
        byId.get(worker).model.evictionNotice(evictionNoticeS);
    }

    /** The machine hangs, and goes on where it was. */
    void hang(String worker, long ms) {
        if (!network.isFrozen(worker)) {
            byId.get(worker).model.advance(now);
            network.freeze(worker, ms);
            at(ms, () -> byId.get(worker).model.goOn(now, ms));
        }
    }

    /** The owner of a machine's partition by what is stored; empty when there is none. */
    String ownerOf(String worker) {
        PartitionMap partitions = new PartitionMap(shape.config("n0"));
        var lease = stored().partition(partitions.partitionOf(worker, zones.get(worker)));
        return lease == null ? "" : lease.owner();
    }

    /** How long ago a machine's partition last got a new term. */
    long sinceMoved(String worker) {
        return now
                - partitionMovedAt.getOrDefault(
                        new PartitionMap(shape.config("n0")).partitionOf(worker, zones.get(worker)), Times.NEVER);
    }

    /** A node that believes that it is the leader, or any when none does. */
    String leader() {
        return nodes.stream()
                .filter(node -> node.up && node.leader.leadingTerm() >= 0)
                .findFirst()
                .orElse(nodes.get(0))
                .name;
    }

    SimulatedWorker worker(String id) {
        return byId.get(id);
    }
}

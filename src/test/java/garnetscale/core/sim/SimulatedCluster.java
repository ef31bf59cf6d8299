package garnetscale.core.sim;

import garnetscale.core.Times;
import garnetscale.core.cluster.FencingTokens;
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
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.BiConsumer;

/**
 * A cluster in simulated time: controllers, each running only the core, and models of the workers, the users and the state
 * service. Messages are delayed, lost, repeated and held for minutes, controllers crash and restart, and any process can be
 * isolated. The seed determines the whole run.
 */
final class SimulatedCluster extends Timeline {

    static final MachineType TYPE = new MachineType("t", 8, 0, 32, 20, 1, 1, 0.5, 20, List.of("a", "b", "c"));
    /** Interval between the heartbeats of a worker. */
    static final long HEARTBEAT_MS = 1000;
    /** Duration of a worker lease. */
    static final long LEASE_MS = 10_000;
    /** Cancellation deadline: time after which no task of a cancelled job may run. */
    static final long CANCEL_MS = 35_000;
    /** Entries on a page of a listing; few, so that a listing takes many requests. */
    static final int PAGE_ENTRIES = 15;
    /** Share of the write rate of the state service that a leader uses. */
    static final double LEADER_SHARE = 0.675;

    /** A deliberate fault in a controller, which shows that the rules detect violations. */
    enum Fault {
        NONE,
        /** The leader receives status messages that declare running tasks terminated. */
        FALSE_TERMINATION
    }

    final ProtocolRules rules;
    final SimulatedStateService state;
    final SimulatedNetwork network = new SimulatedNetwork(this);
    final SimulatedUsers users = new SimulatedUsers(this);
    final List<SimulatedNode> nodes = new ArrayList<>();
    final List<SimulatedWorker> workers = new ArrayList<>();
    /** Jobs whose tasks fail on every machine. */
    final Set<String> failingJobs = new HashSet<>();

    /** Jobs that the workers don't know yet; they refuse to start tasks of these. */
    final Set<String> unknownJobs = new HashSet<>();

    final RepeatedCommands repeatedCommands = new RepeatedCommands(this);

    /** Layout versions that the program installed on a controller supports, by controller. */
    final Map<String, VersionRange> installedLayouts = new HashMap<>();

    private final Map<String, SimulatedWorker> byId = new HashMap<>();
    private final Map<String, String> zones = new HashMap<>();
    /** A replica that {@link #stored} brings up to date. */
    private final StateReplica storedReplica = new StateReplica();
    /** Copies of heartbeats that {@link #deliverHeldHeartbeats} delivers at the next election. */
    final List<WorkerHeartbeat> heldHeartbeats = new ArrayList<>();

    private final Map<String, Long> partitionTerms = new HashMap<>();
    /** Time at which each partition last got a new term, in milliseconds. */
    private final Map<String, Long> partitionMovedAt = new HashMap<>();

    final Fault fault;
    final ClusterShape shape;
    /** Time until which late copies of heartbeats are sent to random controllers. */
    long lateCopiesUntil;
    /** Whether controllers also watch the state service for changes; a watch stays open while requests are refused. */
    boolean watches;
    /** Receives each decision of a controller. */
    DecisionObserver decisionObserver = DecisionObserver.NONE;
    /** Controllers that have load balancing disabled from their next start on. */
    final Set<String> withoutBalancing = new HashSet<>();
    /** Receives each line that the leader role of a controller logs, with the controller's name. */
    BiConsumer<String, String> onLog = (node, line) -> {};
    /** Receives the task of each start command that a partition owner sends, with its machine. */
    BiConsumer<String, TaskId> onStartSent = (machine, task) -> {};
    /**
     * Time until which copies of heartbeats are held; they reach every controller {@link #heldHeartbeatsDelayMs} after the next
     * election.
     */
    long holdHeartbeatsUntil;

    long heldHeartbeatsDelayMs;
    private long lastLeaderTerm;
    /** Time at which the last failure is over of those that {@link #onTrouble} has recorded. */
    private long troublesOverAt;

    SimulatedCluster(long seed, Fault fault, ClusterShape shape) {
        super(seed);
        this.fault = fault;
        this.shape = shape;
        this.state = new SimulatedStateService(this, shape.valueBytes());
        // A source of its own, so that the order doesn't change what else the seed determines.
        Random changeOrder = new Random(seed);
        state.model.orderChanges(changes -> Collections.shuffle(changes, changeOrder));
        this.rules = new ProtocolRules(Map.of("red", shape.red(), "blue", shape.blue()), zones, CANCEL_MS, () -> now);
        state.model.commit(new Transaction().put(Keys.TYPES, Records.types(shape.types())));
        storedReplica.reset(state.model.list(Keys.REPLICATED, null, 10), state.model.revision());
        rules.hasPlacement = (machine, attempt) ->
                stored().placements(machine).stream().anyMatch(placement -> placement.attempt() == attempt);
        for (int i = 0; i < shape.nodes(); i++) {
            nodes.add(new SimulatedNode(this, "n" + i));
        }
        for (int i = 0; i < shape.workers(); i++) {
            startWorker(i);
        }
        every(250, this::update);
        every(1000, this::checkWaitingJobs);
    }

    /** Records a failure that lasts for {@code ms} from now on. */
    void onTrouble(long ms) {
        troublesOverAt = Math.max(troublesOverAt, now + ms);
    }

    private void checkWaitingJobs() {
        boolean areTroublesOver = now >= troublesOverAt
                && now >= state.outageUntil
                && now >= state.slowUntil
                && now >= lateCopiesUntil
                && now >= holdHeartbeatsUntil;
        rules.checkWaitingJobs(
                areTroublesOver, workers.stream().map(worker -> worker.model).toList(), failingJobs);
    }

    /** Installs a program that supports these layout versions; it runs from the controller's next start on. */
    void install(String node, VersionRange layouts) {
        installedLayouts.put(node, layouts);
    }

    /** Requests an upgrade step from the controller that {@link #leader} returns. */
    UpgradeDecision upgrade(UpgradeStep step) {
        SimulatedNode node = nodes.stream()
                .filter(controller -> controller.name.equals(leader()))
                .findFirst()
                .orElseThrow();
        return node.up ? node.leader.upgrade(now, step) : new UpgradeDecision.Refused("controller is down");
    }

    /** Starts the machine with this number, in the zone and of the type that follow from the number. */
    SimulatedWorker startWorker(int number) {
        String id = String.format(Locale.ROOT, "m-%06d", number);
        zones.put(id, shape.zone(number));
        SimulatedWorker worker = new SimulatedWorker(this, id, shape.type(number), shape.zone(number));
        workers.add(worker);
        byId.put(worker.id, worker);
        return worker;
    }

    /** Returns a replica of what the state service has stored at this moment. */
    StateReplica stored() {
        storedReplica.advance(state.model.changes(Keys.REPLICATED, storedReplica.revision()), state.model.revision());
        return storedReplica;
    }

    /** Expires leases, advances the workers, checks the rules and detects new leaders and moved partitions. */
    private void update() {
        if (now >= state.outageUntil) {
            state.model.expireLeases(now);
        }
        for (SimulatedWorker worker : workers) {
            if (network.isFrozen(worker.id)) {
                // PROTOCOL: a machine that hangs may resume its tasks within its lease, but not after the lease has
                // expired.
                worker.model.expireLease(now);
            } else {
                worker.model.advance(now);
            }
        }
        rules.checkCancellations();
        StateReplica stored = stored();
        if (stored.leader() != null && stored.leader().term() != lastLeaderTerm) {
            if (stored.leader().term() < lastLeaderTerm) {
                rules.violations.add(now + " leader's term fell from " + lastLeaderTerm + " to " + stored.leader());
            }
            lastLeaderTerm = stored.leader().term();
            countOccurrence("leader changed");
            deliverHeldHeartbeats();
        }
        for (String partition : new PartitionMap(shape.config("n0")).all()) {
            long term = stored.partition(partition) == null
                    ? 0
                    : stored.partition(partition).term();
            Long before = partitionTerms.put(partition, term);
            if (before != null && before > term) {
                rules.violations.add(now + " term of partition " + partition + " fell from " + before + " to " + term);
            }
            if (before != null && before != term) {
                partitionMovedAt.put(partition, now);
                if (before != 0 && isOfSameLeaderTerm(before, term)) {
                    countOccurrence("partition moved within a leader's term");
                }
            }
        }
    }

    private static boolean isOfSameLeaderTerm(long partitionTerm, long other) {
        long termsPerLeader = FencingTokens.MAX_PARTITION_TERMS + 1;
        return partitionTerm / termsPerLeader == other / termsPerLeader;
    }

    /** Delivers the held heartbeats to every controller and drops the answers. */
    private void deliverHeldHeartbeats() {
        for (WorkerHeartbeat heartbeat : heldHeartbeats) {
            for (SimulatedNode node : nodes) {
                at(heldHeartbeatsDelayMs + random.nextInt(400), () -> {
                    countOccurrence("old heartbeat at a new leader");
                    node.onHeartbeat(heartbeat, reply -> {});
                });
            }
        }
        heldHeartbeats.clear();
    }

    /** Crashes a controller unless it is down; it restarts after {@code downMs}. */
    void crash(String node, int downMs) {
        nodes.stream()
                .filter(controller -> controller.name.equals(node) && controller.up)
                .findFirst()
                .ifPresent(controller -> controller.crash(downMs));
    }

    String zoneOf(String worker) {
        return zones.get(worker);
    }

    /** Returns the name of a machine's type. */
    String typeOf(String worker) {
        return shape.type(PartitionMap.machineNumber(worker)).name();
    }

    /** Returns the term of the stored leader; -1 when there is none. */
    long leaderTerm() {
        return stored().leader() == null ? -1 : stored().leader().term();
    }

    /** Returns the controller that a machine sends its heartbeats to. */
    String heartbeatTarget(String worker) {
        return nodes.get(byId.get(worker).target() % nodes.size()).name;
    }

    /** Gives a machine notice that the cloud will reclaim it in {@code noticeS} seconds; its heartbeats report it from now on. */
    void giveEvictionNotice(String worker, double noticeS) {
        byId.get(worker).model.announceEviction(noticeS);
    }

    /**
     * Freezes a machine unless it is frozen already. Afterwards its tasks resume where they stopped, unless the worker lease has
     * expired meanwhile.
     */
    void hang(String worker, long ms) {
        if (!network.isFrozen(worker)) {
            byId.get(worker).model.advance(now);
            network.freeze(worker, ms);
            at(ms, () -> byId.get(worker).model.resume(now, ms));
        }
    }

    /** Returns the stored owner of a machine's partition; empty when it has none. */
    String ownerOf(String worker) {
        PartitionMap partitions = new PartitionMap(shape.config("n0"));
        var lease = stored().partition(partitions.partitionOf(worker, zones.get(worker)));
        return lease == null ? "" : lease.owner();
    }

    /** Returns the milliseconds since a machine's partition last got a new term; very large if it never did. */
    long msSincePartitionMoved(String worker) {
        return now
                - partitionMovedAt.getOrDefault(
                        new PartitionMap(shape.config("n0")).partitionOf(worker, zones.get(worker)), Times.NEVER);
    }

    /** Returns the first running controller that acts as leader, or the first of all controllers when none does. */
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

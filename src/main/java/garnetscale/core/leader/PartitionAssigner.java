package garnetscale.core.leader;

import com.google.common.collect.HashMultiset;
import com.google.common.collect.Multiset;
import garnetscale.core.SchedulerConfig;
import garnetscale.core.Times;
import garnetscale.core.cluster.ControllerInfo;
import garnetscale.core.cluster.FencingTokens;
import garnetscale.core.cluster.PartitionLease;
import garnetscale.core.cluster.PartitionMap;
import garnetscale.core.state.Keys;
import garnetscale.core.state.Records;
import garnetscale.core.state.StateReplica;
import garnetscale.core.state.Transaction;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Decides which controller owns each partition. Only the leader uses it; the terms of partitions are numbered within the
 * leader's term.
 */
final class PartitionAssigner {

    /**
     * Session lease durations for which a controller must have been live, and the leader must have led, before a partition is
     * moved to that controller to rebalance.
     */
    private static final int LEASES_BEFORE_REBALANCING = 2;
    /**
     * Session lease durations for which a partition isn't rebalanced after it was taken from an owner that was isolated from its
     * machines.
     */
    private static final int LEASES_AFTER_ISOLATION = 8;
    /** Cost of each partition that a controller already owns. Being in another zone than the partition costs 1. */
    private static final int COST_PER_PARTITION = 2;

    private final SchedulerConfig config;
    private final StateReplica replica;
    private final PartitionMap partitions;
    private final PeerFailureDetector failureDetector;
    /** Live view of the leader's machines, with the status that their owners last published. */
    private final Collection<MachineState> machines;

    private final Consumer<String> log;
    /** When each controller process was first seen, by {@link #processKey}. */
    private final Map<String, Long> controllerSince = new HashMap<>();
    /** When a partition was last taken from an owner that was isolated from its machines, by partition. */
    private final Map<String, Long> reassignedAt = new HashMap<>();

    private long leadingSince;
    private int sequence;

    /**
     * Creates an assigner without a term; {@link #begin} must be called first.
     *
     * @param machines live view of the leader's machines
     */
    PartitionAssigner(
            SchedulerConfig config,
            StateReplica replica,
            PartitionMap partitions,
            PeerFailureDetector failureDetector,
            Collection<MachineState> machines,
            Consumer<String> log) {
        this.config = config;
        this.replica = replica;
        this.partitions = partitions;
        this.failureDetector = failureDetector;
        this.machines = machines;
        this.log = log;
    }

    /** Begins a term of the leader; nothing is known from an earlier one. */
    void begin(long now) {
        leadingSince = now;
        sequence = 0;
        controllerSince.clear();
        reassignedAt.clear();
    }

    /** Returns whether the numbers for partition terms within the leader's term are nearly exhausted. */
    boolean isNearlyExhausted() {
        return sequence >= FencingTokens.MAX_PARTITION_TERMS - partitions.all().size();
    }

    /**
     * Returns the transaction that leases partitions without a usable owner, or else moves a partition to a controller in its
     * zone that owns none. Returns null if there is nothing to change.
     */
    Transaction plan(long now, long leaderTerm) {
        observeControllers(now);
        // Each occurrence of a controller stands for one partition that it owns.
        Multiset<String> owned = HashMultiset.create();
        Map<String, String> isolatedOwners = new HashMap<>();
        List<String> toLease = partitionsToLease(now, owned, isolatedOwners);
        if (toLease.isEmpty()) {
            String rebalanced = partitionToRebalance(now, owned);
            if (rebalanced != null) {
                toLease.add(rebalanced);
            }
        }
        Transaction transaction = new Transaction().guard(Keys.LEADER, replica.modRevision(Keys.LEADER));
        for (String partition : toLease) {
            ControllerInfo owner = bestOwner(partition, owned, isolatedOwners.get(partition));
            if (owner != null && transaction.ops().size() < config.maxTransactionOperations()) {
                owned.add(owner.name());
                lease(partition, owner, FencingTokens.partitionTerm(leaderTerm, ++sequence), transaction);
            }
        }
        return transaction.ops().isEmpty() ? null : transaction;
    }

    private void observeControllers(long now) {
        controllerSince.keySet().removeIf(key -> replica.controllers().stream()
                .noneMatch(node -> processKey(node).equals(key)));
        replica.controllers().forEach(node -> controllerSince.putIfAbsent(processKey(node), now));
    }

    /**
     * Returns the partitions that have no live owner or should go to another one.
     *
     * @param owned          receives the owner of each other partition
     * @param isolatedOwners receives, by partition, the owner that is passed over because it is isolated from its machines
     */
    private List<String> partitionsToLease(long now, Multiset<String> owned, Map<String, String> isolatedOwners) {
        List<String> found = new ArrayList<>();
        for (String partition : partitions.all()) {
            PartitionLease lease = replica.partition(partition);
            if (lease == null || !isOwnerAlive(lease)) {
                found.add(partition);
            } else if (hasOnlySilentMachines(now, partition) || isIsolatedFromWorkers(lease.owner())) {
                reassignedAt.put(partition, now);
                isolatedOwners.put(partition, lease.owner());
                found.add(partition);
            } else {
                owned.add(lease.owner());
            }
        }
        return found;
    }

    /**
     * Returns the controller that should own the partition, or null if none can.
     *
     * @param isolatedOwner controller to pass over, or null if there is none
     */
    private ControllerInfo bestOwner(String partition, Multiset<String> owned, String isolatedOwner) {
        ControllerInfo best = null;
        for (ControllerInfo node : replica.controllers()) {
            if (failureDetector.isSuspected(node.name())
                    || node.name().equals(isolatedOwner)
                    || isIsolatedFromWorkers(node.name())
                    || !canRead(node)) {
                continue;
            }
            if (best == null || cost(node, partition, owned) < cost(best, partition, owned)) {
                best = node;
            }
        }
        return best;
    }

    /**
     * Adds the lease of a partition. The leader key alone would be no sufficient guard: the request may arrive again while the same
     * leader leads, and would bring back an older term.
     */
    private void lease(String partition, ControllerInfo owner, long term, Transaction transaction) {
        String key = Keys.partition(partition);
        transaction
                .guard(key, replica.modRevision(key))
                .put(key, Records.partition(new PartitionLease(owner.name(), owner.incarnation(), term)));
        log.accept("leasing partition, partition=" + partition + " owner=" + owner.name() + " term=" + term);
    }

    /**
     * Returns whether the controller is isolated from workers while another one is neither isolated nor suspected. A
     * controller's own report of its isolation is believed at once, but only as long as another controller may do better.
     */
    private boolean isIsolatedFromWorkers(String controller) {
        return failureDetector.isIsolatedFromWorkers(controller)
                && replica.controllers().stream()
                        .anyMatch(node -> !failureDetector.isIsolatedFromWorkers(node.name())
                                && !failureDetector.isSuspected(node.name()));
    }

    /**
     * Returns whether the partition has several machines, all of them silent, and there is another controller. Always false for
     * the isolation timeout after the leader's election or the partition's last reassignment, which would explain the silence.
     * The owner may be cut off from the workers while the state service and its peers still reach it.
     */
    private boolean hasOnlySilentMachines(long now, String partition) {
        long term = replica.partition(partition).term();
        int silent = 0;
        for (MachineState machine : machines) {
            if (machine.status.partition().equals(partition)) {
                if (!machine.status.silent()) {
                    return false;
                }
                // The silence of a machine that only a former owner has published says nothing about the present one.
                silent += machine.status.term() >= term ? 1 : 0;
            }
        }
        return silent > 1
                && replica.controllers().size() > 1
                && now - reassignedAt.getOrDefault(partition, leadingSince) > failureDetector.isolationTimeoutMs();
    }

    /**
     * Returns a partition whose current owner owns several or is in another zone, and that should move to a controller in its
     * own zone that owns none. Returns null if there is no such partition. The returned partition is no longer counted in
     * {@code owned}.
     */
    private String partitionToRebalance(long now, Multiset<String> owned) {
        for (ControllerInfo node : replica.controllers()) {
            if (owned.contains(node.name()) || !mayTakeOver(now, node)) {
                continue;
            }
            for (String partition : partitions.all()) {
                PartitionLease lease = replica.partition(partition);
                if (now - reassignedAt.getOrDefault(partition, Times.NEVER)
                        < LEASES_AFTER_ISOLATION * config.controllerLeaseMs()) {
                    continue;
                }
                boolean ownsSeveral = owned.count(lease.owner()) > 1;
                if (PartitionMap.zoneOf(partition).equals(node.zone())
                        && (ownsSeveral || !zone(lease.owner()).equals(node.zone()))) {
                    owned.remove(lease.owner());
                    return partition;
                }
            }
        }
        return null;
    }

    private boolean mayTakeOver(long now, ControllerInfo node) {
        long minLiveMs = LEASES_BEFORE_REBALANCING * config.controllerLeaseMs();
        return !failureDetector.isSuspected(node.name())
                && !failureDetector.isIsolatedFromWorkers(node.name())
                && canRead(node)
                && now - controllerSince.get(processKey(node)) >= minLiveMs
                && now - leadingSince >= minLiveMs;
    }

    private String zone(String controller) {
        ControllerInfo node = replica.controller(controller);
        return node == null ? "" : node.zone();
    }

    private static int cost(ControllerInfo node, String partition, Multiset<String> owned) {
        return COST_PER_PARTITION * owned.count(node.name())
                + (node.zone().equals(PartitionMap.zoneOf(partition)) ? 0 : 1);
    }

    private static String processKey(ControllerInfo node) {
        return node.name() + "#" + node.incarnation();
    }

    private boolean isOwnerAlive(PartitionLease lease) {
        ControllerInfo node = replica.controller(lease.owner());
        return node != null
                && node.incarnation() == lease.incarnation()
                && !failureDetector.isSuspected(node.name())
                && canRead(node);
    }

    /**
     * Returns whether the controller can read the layout of the stored state. A controller that can't makes no decisions, so it
     * can't own a partition.
     */
    private boolean canRead(ControllerInfo node) {
        return node.layouts()
                .contains(Math.max(replica.layout(), replica.version().active()));
    }
}

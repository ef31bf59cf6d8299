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

/** Decides which controller owns which partition. Used by the leader alone, in whose term the terms of partitions are numbered. */
final class PartitionAssigner {

    /** A controller has to have been there, and the leader to have led, for so many controller leases before rebalancing. */
    private static final int LEASES_BEFORE_REBALANCING = 2;
    /** A partition whose owner heard none of its machines isn't rebalanced for so many controller leases. */
    private static final int LEASES_AFTER_ISOLATION = 8;
    /** What a partition that a controller owns already weighs, against 1 for its being in another zone than the new one. */
    private static final int COST_PER_PARTITION = 2;

    private final SchedulerConfig config;
    private final StateReplica replica;
    private final PartitionMap partitions;
    private final PeerFailureDetector failureDetector;
    /** What the owners last published of each machine. */
    private final Collection<MachineState> machines;

    private final Consumer<String> log;
    /** Since when each controller process has been there, by {@link #processKey}. */
    private final Map<String, Long> controllerSince = new HashMap<>();
    /** When a partition was last given to another owner because its own is isolated from its machines. */
    private final Map<String, Long> reassignedAt = new HashMap<>();

    private long leadingSince;
    private int sequence;

    /** {@code machines} is a live view of the leader's machines. */
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

    /** A new leader's term begins: nothing is known of an earlier one. */
    void begin(long now) {
        leadingSince = now;
        sequence = 0;
        controllerSince.clear();
        reassignedAt.clear();
    }

    /** Whether the leader's term is about to have no numbers left for the terms of partitions. */
    boolean isNearlyUsedUp() {
        return sequence >= FencingTokens.MAX_PARTITION_TERMS - partitions.all().size();
    }

    /**
     * The transaction that leases partitions without a live owner, or moves a partition to an idle controller in its zone; null
     * when all is well.
     */
    Transaction plan(long now, long leaderTerm) {
        observeControllers(now);
        // How many partitions each controller owns.
        Multiset<String> owned = HashMultiset.create();
        Map<String, String> isolatedOwners = new HashMap<>();
        List<String> toLease = withoutOwner(now, owned, isolatedOwners);
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

    /** Partitions that nobody owns, or that should go to another owner; notes who owns the others, and whom to pass over. */
    private List<String> withoutOwner(long now, Multiset<String> owned, Map<String, String> isolatedOwners) {
        List<String> found = new ArrayList<>();
        for (String partition : partitions.all()) {
            PartitionLease lease = replica.partition(partition);
            if (lease == null || !isOwnerAlive(lease)) {
                found.add(partition);
            } else if (hearsNoMachine(now, partition) || isIsolatedFromWorkers(lease.owner())) {
                reassignedAt.put(partition, now);
                isolatedOwners.put(partition, lease.owner());
                found.add(partition);
            } else {
                owned.add(lease.owner());
            }
        }
        return found;
    }

    /** The controller to own the partition, or null when there is none that can. */
    private ControllerInfo bestOwner(String partition, Multiset<String> owned, String isolatedOwner) {
        ControllerInfo best = null;
        for (ControllerInfo node : replica.controllers()) {
            if (failureDetector.isSuspect(node.name())
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

    private void lease(String partition, ControllerInfo owner, long term, Transaction transaction) {
        transaction.put(
                Keys.partition(partition),
                Records.partition(new PartitionLease(owner.name(), owner.incarnation(), term)));
        log.accept("leasing partition, partition=" + partition + " owner=" + owner.name() + " term=" + term);
    }

    /** A controller that says so itself is believed at once, as long as another one may do better. */
    private boolean isIsolatedFromWorkers(String controller) {
        return failureDetector.isIsolatedFromWorkers(controller)
                && replica.controllers().stream()
                        .anyMatch(node -> !failureDetector.isIsolatedFromWorkers(node.name())
                                && !failureDetector.isSuspect(node.name()));
    }

    /**
     * Whether the owner hears none of the partition's machines, which are several: it may be cut off from the workers while the
     * state service and its peers still reach it.
     */
    private boolean hearsNoMachine(long now, String partition) {
        int silent = 0;
        for (MachineState machine : machines) {
            if (machine.status.partition().equals(partition)) {
                if (!machine.status.silent()) {
                    return false;
                }
                silent++;
            }
        }
        return silent > 1
                && replica.controllers().size() > 1
                && now - reassignedAt.getOrDefault(partition, leadingSince) > failureDetector.isolationPatienceMs();
    }

    /** A partition in the zone of a controller that owns none, if its owner owns several or is in another zone; or null. */
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
                boolean isOwnerCrowded = owned.count(lease.owner()) > 1;
                if (PartitionMap.zoneOf(partition).equals(node.zone())
                        && (isOwnerCrowded || !zone(lease.owner()).equals(node.zone()))) {
                    owned.remove(lease.owner());
                    return partition;
                }
            }
        }
        return null;
    }

    private boolean mayTakeOver(long now, ControllerInfo node) {
        long settledMs = LEASES_BEFORE_REBALANCING * config.controllerLeaseMs();
        return !failureDetector.isSuspect(node.name())
                && !failureDetector.isIsolatedFromWorkers(node.name())
                && canRead(node)
                && now - controllerSince.get(processKey(node)) >= settledMs
                && now - leadingSince >= settledMs;
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
                && !failureDetector.isSuspect(node.name())
                && canRead(node);
    }

    /** Whether a controller can read what is stored; one that can't decides nothing, and so can't own a partition. */
    private boolean canRead(ControllerInfo node) {
        return node.layouts()
                .contains(Math.max(replica.layout(), replica.version().active()));
    }
}

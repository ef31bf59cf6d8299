package garnetscale.core.leader;

import com.google.common.collect.HashMultiset;
import com.google.common.collect.Multiset;
import garnetscale.core.SchedulerConfig;
import garnetscale.core.partition.ControllerInfo;
import garnetscale.core.partition.FencingTokens;
import garnetscale.core.partition.PartitionLease;
import garnetscale.core.partition.PartitionMap;
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

/** Decides which controller holds which block. Used by the leader alone, whose term the terms of blocks are numbered in. */
final class PartitionAssigner {

    private final SchedulerConfig config;
    private final StateReplica replica;
    private final PartitionMap partitions;
    private final PeerFailureDetector health;
    /** What the holders last said of each machine. */
    private final Collection<MachineState> machines;

    private final Consumer<String> log;
    /** Since when each process has been there. */
    private final Map<String, Long> nodeSince = new HashMap<>();
    /** When a block was last moved because none of its machines was heard of. */
    private final Map<String, Long> movedAt = new HashMap<>();

    private long leadingSince;
    private int sequence;

    PartitionAssigner(
            SchedulerConfig config,
            StateReplica replica,
            PartitionMap partitions,
            PeerFailureDetector health,
            Collection<MachineState> machines,
            Consumer<String> log) {
        this.config = config;
        this.replica = replica;
        this.partitions = partitions;
        this.health = health;
        this.machines = machines;
        this.log = log;
    }

    /** A new leader's term begins: nothing is known of an earlier one. */
    void begin(long now) {
        leadingSince = now;
        sequence = 0;
        nodeSince.clear();
        movedAt.clear();
    }

    /** Whether the leader's term is about to have no numbers left for blocks. */
    boolean isNearlyUsedUp() {
        return sequence >= FencingTokens.MAX_PARTITION_TERMS - partitions.all().size();
    }

    /**
     * The transaction that leases blocks whose holder is gone, or moves a block home when its zone has an idle controller
     * again; null when all is well.
     */
    Transaction plan(long now, long leaderTerm) {
        nodeSince.keySet().removeIf(n -> replica.nodes().stream().noneMatch(i -> key(i).equals(n)));
        replica.nodes().forEach(n -> nodeSince.putIfAbsent(key(n), now));
        Multiset<String> load = HashMultiset.create();
        Map<String, String> deafHolder = new HashMap<>();
        List<String> orphans = new ArrayList<>();
        for (String partition : partitions.all()) {
            PartitionLease lease = replica.partition(partition);
            if (lease != null
                    && alive(lease)
                    && (isIsolatedFromWorkers(now, partition) || isIsolatedFromWorkers(lease.owner()))) {
                movedAt.put(partition, now);
                deafHolder.put(partition, lease.owner());
                orphans.add(partition);
            } else if (lease != null && alive(lease)) {
                load.add(lease.owner());
            } else {
                orphans.add(partition);
            }
        }
        if (orphans.isEmpty()) {
            String moved = blockToMove(now, load);
            if (moved != null) {
                orphans.add(moved);
            }
        }
        Transaction transaction = new Transaction().guard(Keys.LEADER, replica.modRevision(Keys.LEADER));
        for (String partition : orphans) {
            ControllerInfo best = null;
            for (ControllerInfo n : replica.nodes()) {
                if (health.isSuspect(n.name())
                        || n.name().equals(deafHolder.get(partition))
                        || isIsolatedFromWorkers(n.name())
                        || !canRead(n)) {
                    continue;
                }
                if (best == null || cost(n, partition, load) < cost(best, partition, load)) {
                    best = n;
                }
            }
            if (best != null && transaction.ops().size() < config.transactionOps()) {
                load.add(best.name());
                long term = FencingTokens.partitionTerm(leaderTerm, ++sequence);
                transaction.put(
                        Keys.partition(partition),
                        Records.partition(new PartitionLease(best.name(), best.incarnation(), term)));
                log.accept("block " + partition + " goes to " + best.name() + " under term " + term);
            }
        }
        return transaction.ops().isEmpty() ? null : transaction;
    }

    /** A holder that says so itself is believed at once, as long as another one may do better. */
    private boolean isIsolatedFromWorkers(String node) {
        return health.isIsolatedFromWorkers(node)
                && replica.nodes().stream()
                        .anyMatch(n -> !health.isIsolatedFromWorkers(n.name()) && !health.isSuspect(n.name()));
    }

    /**
     * Whether the holder hears none of the block's machines, which are several: it may be cut off from the workers
     * while the state service and its peers still reach it.
     */
    private boolean isIsolatedFromWorkers(long now, String partition) {
        int silent = 0;
        for (MachineState m : machines) {
            if (m.last.partition().equals(partition)) {
                if (!m.last.silent()) {
                    return false;
                }
                silent++;
            }
        }
        return silent > 1
                && replica.nodes().size() > 1
                && now - movedAt.getOrDefault(partition, leadingSince)
                        > 2 * config.controllerLeaseMs() + 4 * config.heartbeatIntervalMs();
    }

    private String blockToMove(long now, Multiset<String> load) {
        for (ControllerInfo n : replica.nodes()) {
            if (load.contains(n.name())
                    || health.isSuspect(n.name())
                    || health.isIsolatedFromWorkers(n.name())
                    || !canRead(n)
                    || now - nodeSince.get(key(n)) < 2 * config.controllerLeaseMs()
                    || now - leadingSince < 2 * config.controllerLeaseMs()) {
                continue;
            }
            for (String partition : partitions.all()) {
                PartitionLease lease = replica.partition(partition);
                if (now - movedAt.getOrDefault(partition, Long.MIN_VALUE / 2) < 8 * config.controllerLeaseMs()) {
                    continue;
                }
                boolean crowded = load.count(lease.owner()) > 1;
                if (PartitionMap.zoneOf(partition).equals(n.zone())
                        && (crowded || !zone(lease.owner()).equals(n.zone()))) {
                    load.remove(lease.owner());
                    return partition;
                }
            }
        }
        return null;
    }

    private String zone(String node) {
        ControllerInfo n = replica.node(node);
        return n == null ? "" : n.zone();
    }

    private static int cost(ControllerInfo n, String partition, Multiset<String> load) {
        return 2 * load.count(n.name()) + (n.zone().equals(PartitionMap.zoneOf(partition)) ? 0 : 1);
    }

    private static String key(ControllerInfo n) {
        return n.name() + "#" + n.incarnation();
    }

    private boolean alive(PartitionLease lease) {
        ControllerInfo n = replica.node(lease.owner());
        return n != null && n.incarnation() == lease.incarnation() && !health.isSuspect(n.name()) && canRead(n);
    }

    /** Whether a controller can read what is stored; one that can't decides nothing, and so can't hold a block. */
    private boolean canRead(ControllerInfo n) {
        return n.layouts().contains(Math.max(replica.layout(), replica.version().active()));
    }
}

package garnetscale.core.lead;

import com.google.common.collect.HashMultiset;
import com.google.common.collect.Multiset;
import garnetscale.core.Params;
import garnetscale.core.block.BlockLease;
import garnetscale.core.block.Blocks;
import garnetscale.core.block.NodeInfo;
import garnetscale.core.block.Terms;
import garnetscale.core.store.Keys;
import garnetscale.core.store.Records;
import garnetscale.core.store.StateReplica;
import garnetscale.core.store.Txn;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** Decides which controller holds which block. Used by the leader alone, whose term the terms of blocks are numbered in. */
final class BlockAssignment {

    private final Params params;
    private final StateReplica replica;
    private final Blocks blocks;
    private final PeerHealth health;
    /** What the holders last said of each machine. */
    private final Collection<MachineState> machines;

    private final Consumer<String> log;
    /** Since when each process has been there. */
    private final Map<String, Long> nodeSince = new HashMap<>();
    /** When a block was last moved because none of its machines was heard of. */
    private final Map<String, Long> movedAt = new HashMap<>();

    private long leadingSince;
    private int sequence;

    BlockAssignment(
            Params params,
            StateReplica replica,
            Blocks blocks,
            PeerHealth health,
            Collection<MachineState> machines,
            Consumer<String> log) {
        this.params = params;
        this.replica = replica;
        this.blocks = blocks;
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
        return sequence >= Terms.MOST_BLOCK_TERMS - blocks.all().size();
    }

    /**
     * The transaction that leases blocks whose holder is gone, or moves a block home when its zone has an idle controller
     * again; null when all is well.
     */
    Txn plan(long now, long leaderTerm) {
        nodeSince.keySet().removeIf(n -> replica.nodes().stream().noneMatch(i -> key(i).equals(n)));
        replica.nodes().forEach(n -> nodeSince.putIfAbsent(key(n), now));
        Multiset<String> load = HashMultiset.create();
        Map<String, String> deafHolder = new HashMap<>();
        List<String> orphans = new ArrayList<>();
        for (String block : blocks.all()) {
            BlockLease lease = replica.block(block);
            if (lease != null && alive(lease) && (isDeaf(now, block) || isDeaf(lease.holder()))) {
                movedAt.put(block, now);
                deafHolder.put(block, lease.holder());
                orphans.add(block);
            } else if (lease != null && alive(lease)) {
                load.add(lease.holder());
            } else {
                orphans.add(block);
            }
        }
        if (orphans.isEmpty()) {
            String moved = blockToMove(now, load);
            if (moved != null) {
                orphans.add(moved);
            }
        }
        Txn txn = new Txn().guard(Keys.LEADER, replica.stamp(Keys.LEADER));
        for (String block : orphans) {
            NodeInfo best = null;
            for (NodeInfo n : replica.nodes()) {
                if (health.isSuspect(n.name())
                        || n.name().equals(deafHolder.get(block))
                        || isDeaf(n.name())
                        || !canRead(n)) {
                    continue;
                }
                if (best == null || cost(n, block, load) < cost(best, block, load)) {
                    best = n;
                }
            }
            if (best != null && txn.ops().size() < params.txnOps()) {
                load.add(best.name());
                long term = Terms.blockTerm(leaderTerm, ++sequence);
                txn.put(Keys.block(block), Records.block(new BlockLease(best.name(), best.incarnation(), term)));
                log.accept("block " + block + " goes to " + best.name() + " under term " + term);
            }
        }
        return txn.ops().isEmpty() ? null : txn;
    }

    /** A holder that says so itself is believed at once, as long as another one may do better. */
    private boolean isDeaf(String node) {
        return health.isDeaf(node)
                && replica.nodes().stream().anyMatch(n -> !health.isDeaf(n.name()) && !health.isSuspect(n.name()));
    }

    /**
     * Whether the holder hears none of the block's machines, which are several: it may be cut off from the workers
     * while the state service and its peers still reach it.
     */
    private boolean isDeaf(long now, String block) {
        int silent = 0;
        for (MachineState m : machines) {
            if (m.last.block().equals(block)) {
                if (!m.last.silent()) {
                    return false;
                }
                silent++;
            }
        }
        return silent > 1
                && replica.nodes().size() > 1
                && now - movedAt.getOrDefault(block, leadingSince) > 2 * params.nodeTtlMs() + 4 * params.reportMs();
    }

    private String blockToMove(long now, Multiset<String> load) {
        for (NodeInfo n : replica.nodes()) {
            if (load.contains(n.name())
                    || health.isSuspect(n.name())
                    || health.isDeaf(n.name())
                    || !canRead(n)
                    || now - nodeSince.get(key(n)) < 2 * params.nodeTtlMs()
                    || now - leadingSince < 2 * params.nodeTtlMs()) {
                continue;
            }
            for (String block : blocks.all()) {
                BlockLease lease = replica.block(block);
                if (now - movedAt.getOrDefault(block, Long.MIN_VALUE / 2) < 8 * params.nodeTtlMs()) {
                    continue;
                }
                boolean crowded = load.count(lease.holder()) > 1;
                if (Blocks.zoneOf(block).equals(n.zone())
                        && (crowded || !zone(lease.holder()).equals(n.zone()))) {
                    load.remove(lease.holder());
                    return block;
                }
            }
        }
        return null;
    }

    private String zone(String node) {
        NodeInfo n = replica.node(node);
        return n == null ? "" : n.zone();
    }

    private static int cost(NodeInfo n, String block, Multiset<String> load) {
        return 2 * load.count(n.name()) + (n.zone().equals(Blocks.zoneOf(block)) ? 0 : 1);
    }

    private static String key(NodeInfo n) {
        return n.name() + "#" + n.incarnation();
    }

    private boolean alive(BlockLease lease) {
        NodeInfo n = replica.node(lease.holder());
        return n != null && n.incarnation() == lease.incarnation() && !health.isSuspect(n.name()) && canRead(n);
    }

    /** Whether a controller can read what is stored; one that can't decides nothing, and so can't hold a block. */
    private boolean canRead(NodeInfo n) {
        return n.layouts().contains(Math.max(replica.layout(), replica.version().active()));
    }
}

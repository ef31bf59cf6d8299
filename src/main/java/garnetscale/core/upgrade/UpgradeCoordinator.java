package garnetscale.core.upgrade;

import garnetscale.core.block.NodeInfo;
import garnetscale.core.store.Keys;
import garnetscale.core.store.Records;
import garnetscale.core.store.StateReplica;
import garnetscale.core.store.Txn;
import java.util.HashMap;
import java.util.Map;

/**
 * Decides on the cluster's version; used by the leader alone. A version becomes active in one transaction, which is guarded
 * by the leader's key, by the version before and by the record of every live controller: whoever joins, returns or leaves in
 * between makes it fail.
 */
public final class UpgradeCoordinator {

    /** Pages of a shard that the first layout can write in one transaction with an entry beside them. */
    private static final int PAGES_IN_FIRST_LAYOUT = 2;
    /** How often it is looked at who is alive, in the settling time. */
    private static final int LOOKS = 40;

    private final StateReplica replica;
    private final VersionRange own;
    private final long settleMs;
    private final int valueBytes;
    /** Since when each live process has been seen, by name and incarnation. */
    private final Map<String, Long> since = new HashMap<>();

    private long observedAt = Long.MIN_VALUE / 2;

    /**
     * @param own      what this controller supports
     * @param settleMs how long every live controller must have been there before a version is activated
     */
    public UpgradeCoordinator(StateReplica replica, VersionRange own, long settleMs, int valueBytes) {
        this.replica = replica;
        this.own = own;
        this.settleMs = settleMs;
        this.valueBytes = valueBytes;
    }

    /** Forgets who was seen, as when this controller begins to lead. */
    public void clear() {
        since.clear();
        observedAt = Long.MIN_VALUE / 2;
    }

    /** Takes note of who is alive. */
    public void observe(long now) {
        if (now - observedAt < settleMs / LOOKS) {
            return;
        }
        observedAt = now;
        since.keySet().removeIf(process -> replica.nodes().stream().noneMatch(n -> key(n).equals(process)));
        replica.nodes().forEach(n -> since.putIfAbsent(key(n), now));
    }

    /** Activates the next version by itself once the present one is about to be too small for what is stored; or null. */
    public Txn automatic(long now) {
        if (!replica.hasOutgrownFirstLayout(valueBytes, PAGES_IN_FIRST_LAYOUT)) {
            return null;
        }
        return activate(now) instanceof UpgradeDecision.Commit commit ? commit.txn() : null;
    }

    public UpgradeDecision decide(long now, UpgradeStep step) {
        return switch (step) {
            case ACTIVATE -> activate(now);
            case DEACTIVATE -> deactivate();
            case FINALIZE -> finalizeActive();
        };
    }

    private UpgradeDecision activate(long now) {
        ClusterVersion version = replica.version();
        int next = version.active() + 1;
        boolean isKnown =
                replica.nodes().stream().anyMatch(node -> node.layouts().contains(next));
        if (!isKnown) {
            return new UpgradeDecision.Done(version);
        }
        for (NodeInfo node : replica.nodes()) {
            if (!node.layouts().contains(next)) {
                return new UpgradeDecision.Refused(
                        "controller " + node.name() + " supports " + node.layouts() + " and not " + next);
            }
        }
        for (NodeInfo node : replica.nodes()) {
            long seen = now - since.getOrDefault(key(node), now);
            if (seen < settleMs) {
                return new UpgradeDecision.Refused("controller " + node.name() + " has been there for " + seen + " of "
                        + settleMs + " ms that it has to");
            }
        }
        Txn txn = begin();
        replica.nodes().forEach(node -> {
            String key = Keys.node(node.name());
            txn.guard(key, replica.stamp(key));
        });
        return commit(txn, version.activated(next));
    }

    private UpgradeDecision deactivate() {
        ClusterVersion version = replica.version();
        if (version.active() == VersionRange.FIRST_VERSION) {
            return new UpgradeDecision.Done(version);
        }
        if (version.isFinal()) {
            return new UpgradeDecision.Refused("version " + version.active() + " is finalized");
        }
        if (!own.contains(version.active() - 1)) {
            return new UpgradeDecision.Refused(
                    "this controller supports " + own + " and not " + (version.active() - 1));
        }
        if (replica.hasOutgrownFirstLayout(valueBytes, PAGES_IN_FIRST_LAYOUT)) {
            return new UpgradeDecision.Refused("more is stored than version " + (version.active() - 1) + " can hold");
        }
        return commit(begin(), version.deactivated());
    }

    private UpgradeDecision finalizeActive() {
        ClusterVersion version = replica.version();
        if (version.isFinal()) {
            return new UpgradeDecision.Done(version);
        }
        return commit(begin(), version.finalized());
    }

    private Txn begin() {
        return new Txn()
                .guard(Keys.LEADER, replica.stamp(Keys.LEADER))
                .guard(Keys.VERSION, replica.stamp(Keys.VERSION));
    }

    private static UpgradeDecision commit(Txn txn, ClusterVersion next) {
        return new UpgradeDecision.Commit(txn.put(Keys.VERSION, Records.version(next)), next);
    }

    private static String key(NodeInfo node) {
        return node.name() + "#" + node.incarnation();
    }
}

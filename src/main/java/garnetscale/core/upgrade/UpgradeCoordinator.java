package garnetscale.core.upgrade;

import garnetscale.core.partition.ControllerInfo;
import garnetscale.core.state.Keys;
import garnetscale.core.state.Records;
import garnetscale.core.state.StateReplica;
import garnetscale.core.state.Transaction;
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
    public Transaction automatic(long now) {
        if (!replica.hasOutgrownFirstLayout(valueBytes, PAGES_IN_FIRST_LAYOUT)) {
            return null;
        }
        return activate(now) instanceof UpgradeDecision.Commit commit ? commit.transaction() : null;
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
        for (ControllerInfo node : replica.nodes()) {
            if (!node.layouts().contains(next)) {
                return new UpgradeDecision.Refused(
                        "controller " + node.name() + " supports " + node.layouts() + " and not " + next);
            }
        }
        for (ControllerInfo node : replica.nodes()) {
            long seen = now - since.getOrDefault(key(node), now);
            if (seen < settleMs) {
                return new UpgradeDecision.Refused("controller " + node.name() + " has been there for " + seen + " of "
                        + settleMs + " ms that it has to");
            }
        }
        Transaction transaction = begin();
        replica.nodes().forEach(node -> {
            String key = Keys.node(node.name());
            transaction.guard(key, replica.modRevision(key));
        });
        return commit(transaction, version.activated(next));
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

    private Transaction begin() {
        return new Transaction()
                .guard(Keys.LEADER, replica.modRevision(Keys.LEADER))
                .guard(Keys.VERSION, replica.modRevision(Keys.VERSION));
    }

    private static UpgradeDecision commit(Transaction transaction, ClusterVersion next) {
        return new UpgradeDecision.Commit(transaction.put(Keys.VERSION, Records.version(next)), next);
    }

    private static String key(ControllerInfo node) {
        return node.name() + "#" + node.incarnation();
    }
}

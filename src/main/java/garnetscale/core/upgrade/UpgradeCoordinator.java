package garnetscale.core.upgrade;

import garnetscale.core.Times;
import garnetscale.core.cluster.ControllerInfo;
import garnetscale.core.state.Keys;
import garnetscale.core.state.Records;
import garnetscale.core.state.StateReplica;
import garnetscale.core.state.Transaction;
import java.util.HashMap;
import java.util.Map;

/**
 * Decides on the cluster's layout version; used by the leader alone. A version becomes active in one transaction that is guarded
 * by the leader's key, by the version before it and by the record of every live controller: it fails if a controller joins,
 * restarts or leaves in between.
 */
public final class UpgradeCoordinator {

    /** Pages of a shard that the first layout can write in one transaction together with a log entry. */
    private static final int PAGES_IN_FIRST_LAYOUT = 2;
    /** How often live controllers are observed within the activation delay. */
    private static final int OBSERVATIONS_PER_DELAY = 40;

    private final StateReplica replica;
    private final VersionRange own;
    private final long settleMs;
    private final int valueBytes;
    /** When each live controller process was first seen, by name and incarnation. */
    private final Map<String, Long> firstSeenAt = new HashMap<>();

    private long observedAt = Times.NEVER;

    /**
     * Observes nothing yet.
     *
     * @param own      the layout versions that this controller supports
     * @param settleMs how long every live controller must have been up before a version is activated
     * @param valueBytes most bytes in one stored value
     */
    public UpgradeCoordinator(StateReplica replica, VersionRange own, long settleMs, int valueBytes) {
        this.replica = replica;
        this.own = own;
        this.settleMs = settleMs;
        this.valueBytes = valueBytes;
    }

    /** Forgets all observations; to be called when this controller becomes leader. */
    public void clear() {
        firstSeenAt.clear();
        observedAt = Times.NEVER;
    }

    /** Records which controllers are alive. */
    public void observe(long now) {
        if (now - observedAt < settleMs / OBSERVATIONS_PER_DELAY) {
            return;
        }
        observedAt = now;
        firstSeenAt.keySet().removeIf(process -> replica.controllers().stream()
                .noneMatch(node -> processOf(node).equals(process)));
        replica.controllers().forEach(node -> firstSeenAt.putIfAbsent(processOf(node), now));
    }

    /** The transaction that activates the next version, once more is stored than the present one can soon hold; else null. */
    public Transaction automatic(long now) {
        if (!replica.hasOutgrownFirstLayout(valueBytes, PAGES_IN_FIRST_LAYOUT)) {
            return null;
        }
        return activate(now) instanceof UpgradeDecision.Commit commit ? commit.transaction() : null;
    }

    /** Decides on an operator's request at {@code now}, in milliseconds of the steady clock. */
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
        boolean supportedByAny =
                replica.controllers().stream().anyMatch(node -> node.layouts().contains(next));
        if (!supportedByAny) {
            return new UpgradeDecision.Done(version);
        }
        for (ControllerInfo node : replica.controllers()) {
            if (!node.layouts().contains(next)) {
                return new UpgradeDecision.Refused(
                        "controller " + node.name() + " supports " + node.layouts() + " and not " + next);
            }
        }
        for (ControllerInfo node : replica.controllers()) {
            long upMs = now - firstSeenAt.getOrDefault(processOf(node), now);
            if (upMs < settleMs) {
                return new UpgradeDecision.Refused("controller " + node.name() + " has been there for " + upMs + " of "
                        + settleMs + " ms that it has to");
            }
        }
        Transaction transaction = guardedTransaction();
        replica.controllers().forEach(node -> {
            String key = Keys.controller(node.name());
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
        return commit(guardedTransaction(), version.deactivated());
    }

    private UpgradeDecision finalizeActive() {
        ClusterVersion version = replica.version();
        if (version.isFinal()) {
            return new UpgradeDecision.Done(version);
        }
        return commit(guardedTransaction(), version.finalized());
    }

    private Transaction guardedTransaction() {
        return new Transaction()
                .guard(Keys.LEADER, replica.modRevision(Keys.LEADER))
                .guard(Keys.VERSION, replica.modRevision(Keys.VERSION));
    }

    private static UpgradeDecision commit(Transaction transaction, ClusterVersion next) {
        return new UpgradeDecision.Commit(transaction.put(Keys.VERSION, Records.version(next)), next);
    }

    private static String processOf(ControllerInfo node) {
        return node.name() + "#" + node.incarnation();
    }
}

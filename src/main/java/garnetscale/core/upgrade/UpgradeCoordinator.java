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
 * Decides on the cluster's layout version; used only by the leader. A version is activated in one transaction, which is guarded
 * by the leader's key, the previous version and the record of every live controller. The transaction fails if any of these
 * controllers restarts or leaves before it commits. A controller that joins meanwhile reads the version first, and makes no
 * decisions if it doesn't support that version.
 */
public final class UpgradeCoordinator {

    /** Maximum number of pages of a shard that the first layout can write in one transaction together with a log entry. */
    private static final int MAX_PAGES_IN_FIRST_LAYOUT = 2;
    /** Number of observations of the live controllers per settle time. */
    private static final int OBSERVATIONS_PER_SETTLE_TIME = 40;

    private final StateReplica replica;
    private final VersionRange supported;
    private final long settleMs;
    private final int valueBytes;
    /** Time at which each live controller process was first observed, in milliseconds, by name and incarnation. */
    private final Map<String, Long> firstSeenAt = new HashMap<>();

    private long observedAt = Times.NEVER;

    /**
     * Creates a coordinator without observations.
     *
     * @param supported  the layout versions that this controller supports
     * @param settleMs   how long every live controller must have been up before a version is activated, in milliseconds
     * @param valueBytes maximum size of one stored value, in bytes
     */
    public UpgradeCoordinator(StateReplica replica, VersionRange supported, long settleMs, int valueBytes) {
        this.replica = replica;
        this.supported = supported;
        this.settleMs = settleMs;
        this.valueBytes = valueBytes;
    }

    /** Clears all observations; must be called when this controller becomes leader. */
    public void clear() {
        firstSeenAt.clear();
        observedAt = Times.NEVER;
    }

    /**
     * Records which controllers are live, unless the last observation is very recent compared to the settle time.
     *
     * @param now the time in milliseconds of the steady clock
     */
    public void observe(long now) {
        if (now - observedAt < settleMs / OBSERVATIONS_PER_SETTLE_TIME) {
            return;
        }
        observedAt = now;
        firstSeenAt.keySet().removeIf(process -> replica.controllers().stream()
                .noneMatch(controller -> processOf(controller).equals(process)));
        replica.controllers().forEach(controller -> firstSeenAt.putIfAbsent(processOf(controller), now));
    }

    /**
     * Returns the transaction that activates the next version if the stored state is about to outgrow the active version and
     * every precondition holds, otherwise null.
     */
    public Transaction automaticActivation(long now) {
        if (!replica.hasOutgrownFirstLayout(valueBytes, MAX_PAGES_IN_FIRST_LAYOUT)) {
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
        boolean supportedByAny = replica.controllers().stream()
                .anyMatch(controller -> controller.layouts().contains(next));
        if (!supportedByAny) {
            return new UpgradeDecision.Done(version);
        }
        for (ControllerInfo controller : replica.controllers()) {
            if (!controller.layouts().contains(next)) {
                return new UpgradeDecision.Refused(
                        "controller " + controller.name() + " supports " + controller.layouts() + " and not " + next);
            }
        }
        for (ControllerInfo controller : replica.controllers()) {
            long upMs = now - firstSeenAt.getOrDefault(processOf(controller), now);
            if (upMs < settleMs) {
                return new UpgradeDecision.Refused("controller " + controller.name() + " has been there for " + upMs
                        + " of " + settleMs + " ms that it has to");
            }
        }
        Transaction transaction = guardedTransaction();
        replica.controllers().forEach(controller -> {
            String key = Keys.controller(controller.name());
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
        if (!supported.contains(version.active() - 1)) {
            return new UpgradeDecision.Refused(
                    "this controller supports " + supported + " and not " + (version.active() - 1));
        }
        if (replica.hasOutgrownFirstLayout(valueBytes, MAX_PAGES_IN_FIRST_LAYOUT)) {
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

    private static String processOf(ControllerInfo controller) {
        return controller.name() + "#" + controller.incarnation();
    }
}

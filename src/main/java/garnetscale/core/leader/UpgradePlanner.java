package garnetscale.core.leader;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.Times;
import garnetscale.core.state.StateReplica;
import garnetscale.core.state.Transaction;
import garnetscale.core.upgrade.UpgradeCoordinator;
import garnetscale.core.upgrade.UpgradeDecision;
import garnetscale.core.upgrade.UpgradeStep;
import java.util.function.Consumer;

/**
 * Plans the changes of the cluster's version: those that an operator requests, and the automatic activation if it is enabled.
 */
final class UpgradePlanner {

    private final SchedulerConfig config;
    private final StateReplica replica;
    private final UpgradeCoordinator coordinator;
    private final Consumer<String> log;

    private long activationCheckedAt = Times.NEVER;
    /** Step that an operator requested and that can be carried out, or null. */
    private UpgradeStep requested;

    UpgradePlanner(SchedulerConfig config, StateReplica replica, Consumer<String> log) {
        this.config = config;
        this.replica = replica;
        this.coordinator = new UpgradeCoordinator(
                replica, config.features().layouts(), config.activationDelayMs(), config.maxValueBytes());
        this.log = log;
    }

    /** Discards requests at the start of a new term; what was requested of an earlier leader must be requested again. */
    void clear() {
        coordinator.clear();
        requested = null;
    }

    /**
     * Decides on a step that an operator requests. If it can be carried out, the next transaction does so. That transaction may
     * fail; the operator can then repeat the request, and the step is carried out or found to be done.
     */
    UpgradeDecision request(long now, UpgradeStep step) {
        UpgradeDecision decision = coordinator.decide(now, step);
        requested = decision instanceof UpgradeDecision.Commit ? step : null;
        return decision;
    }

    /** Returns the change of the cluster's version that is due, or null if there is none. */
    Transaction plan(long now) {
        coordinator.observe(now);
        Transaction change = requestedChange(now);
        return change != null ? change : automaticActivation(now);
    }

    private Transaction requestedChange(long now) {
        if (requested == null) {
            return null;
        }
        UpgradeStep step = requested;
        requested = null;
        if (coordinator.decide(now, step) instanceof UpgradeDecision.Commit commit) {
            log.accept("changing cluster version by request, step=" + step + " active="
                    + commit.next().active() + " floor=" + commit.next().floor());
            return commit.transaction();
        }
        return null;
    }

    private Transaction automaticActivation(long now) {
        if (!config.features().automaticActivation() || now - activationCheckedAt < config.workerLeaseMs()) {
            return null;
        }
        activationCheckedAt = now;
        Transaction activation = coordinator.automaticActivation(now);
        if (activation != null) {
            log.accept(
                    "activating cluster version: the active version will soon be too small for the stored data, version="
                            + (replica.version().active() + 1));
        }
        return activation;
    }
}

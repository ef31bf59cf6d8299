package garnetscale.core.upgrade;

import garnetscale.core.cluster.ControllerInfo;
import garnetscale.core.cluster.LeaderInfo;
import garnetscale.core.state.Keys;
import garnetscale.core.state.Records;
import garnetscale.core.state.StateReplica;
import garnetscale.core.state.Transaction;
import garnetscale.emulator.StateModel;
import java.util.HashMap;
import java.util.Map;

/** A few controllers on one state service; each replica is updated only when the test does so. */
final class UpgradeCluster {

    static final long SETTLE_MS = 1000;
    static final int VALUE_BYTES = 16 * 1024;

    /** A controller process. */
    static final class Controller {
        final String name;
        final VersionRange supported;
        final StateReplica replica;
        final UpgradeCoordinator upgrades;

        private Controller(String name, VersionRange supported) {
            this.name = name;
            this.supported = supported;
            this.replica = new StateReplica(supported);
            this.upgrades = new UpgradeCoordinator(replica, supported, SETTLE_MS, VALUE_BYTES);
        }
    }

    final StateModel state = new StateModel();
    private final Map<String, Long> leases = new HashMap<>();
    private long term;

    /** Starts a controller process; it lists the keys and registers itself if it can read them. */
    Controller start(String name, VersionRange supported) {
        end(name);
        Controller controller = new Controller(name, supported);
        list(controller);
        if (controller.replica.isLoaded()) {
            long lease = state.grantLease(0, Long.MAX_VALUE / 4);
            leases.put(name, lease);
            commit(
                    controller,
                    new Transaction()
                            .put(
                                    Keys.controller(name),
                                    Records.controller(new ControllerInfo(name, lease, "a", supported)),
                                    lease));
            follow(controller);
        }
        return controller;
    }

    /** Ends a controller process and its lease. */
    void end(String name) {
        Long lease = leases.remove(name);
        if (lease != null) {
            state.revokeLease(lease);
        }
    }

    /** Makes a controller the leader. */
    void elect(Controller controller) {
        long lease = leases.getOrDefault(controller.name, 0L);
        commit(
                controller,
                new Transaction()
                        .put(Keys.LEADER, Records.leader(new LeaderInfo(controller.name, lease, ++term)), lease));
    }

    /**
     * Commits as every controller does: fails unless the active version is the one in the controller's replica. Returns the
     * status of the response, or 0 if that replica isn't loaded.
     */
    int commit(Controller by, Transaction transaction) {
        return by.replica.isLoaded() ? state.commit(by.replica.guardVersion(transaction)) : 0;
    }

    void list(Controller controller) {
        controller.replica.reset(state.list(Keys.REPLICATED, null, Integer.MAX_VALUE), state.revision());
    }

    void follow(Controller controller) {
        StateReplica replica = controller.replica;
        if (replica.isLoaded()) {
            replica.advance(state.changes(Keys.REPLICATED, replica.revision()), state.revision());
        } else {
            list(controller);
        }
    }

    /** Returns the stored version. */
    ClusterVersion version() {
        StateReplica all = new StateReplica(new VersionRange(1, Integer.MAX_VALUE));
        all.reset(state.list(Keys.VERSION, null, 1), state.revision());
        return all.version();
    }
}

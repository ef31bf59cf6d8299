package garnetscale.core.leader;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.Times;
import garnetscale.core.cluster.ControllerInfo;
import garnetscale.core.state.StateReplica;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Tracks what this controller suspects of the others: which of them it has no connection to, and which are isolated from the
 * workers. A suspicion is only a reason to act sooner, never a proof.
 */
final class PeerFailureDetector {

    /** Session lease durations for which a controller that was falsely suspected isn't believed to be down again. */
    private static final int LEASES_AFTER_FALSE_SUSPICION = 8;
    /**
     * Part of the isolation timeout, in session lease durations. The timeout is the sum of this and
     * {@link #ISOLATION_HEARTBEATS}.
     */
    private static final int ISOLATION_LEASES = 2;
    /** Part of the isolation timeout, in heartbeat intervals. */
    private static final int ISOLATION_HEARTBEATS = 4;
    /** Stands for the incarnation of a controller that isn't in the replica. */
    private static final long UNKNOWN_INCARNATION = -1;

    private final SchedulerConfig config;
    private final StateReplica replica;
    private final Consumer<String> log;
    /** When this controller lost its connection to each suspected controller. */
    private final Map<String, Long> suspectedSince = new HashMap<>();
    /** Incarnation of each controller when it was last suspected. */
    private final Map<String, Long> suspectedIncarnations = new HashMap<>();
    /** When a suspicion of each controller last turned out to be false. */
    private final Map<String, Long> falselySuspectedAt = new HashMap<>();

    private final Set<String> isolatedFromWorkers = new HashSet<>();

    PeerFailureDetector(SchedulerConfig config, StateReplica replica, Consumer<String> log) {
        this.config = config;
        this.replica = replica;
        this.log = log;
    }

    /** Handles a change in the reachability of another controller: its process seems to be down, or is reachable again. */
    void onPeerReachability(long now, String controller, boolean isDown) {
        boolean isNew = isDown
                ? suspectedSince.putIfAbsent(controller, now) == null
                : suspectedSince.remove(controller) != null;
        if (!isNew) {
            return;
        }
        ControllerInfo info = replica.controller(controller);
        if (isDown) {
            suspectedIncarnations.put(controller, info == null ? UNKNOWN_INCARNATION : info.incarnation());
        } else if (info != null && info.incarnation() == suspectedIncarnations.get(controller)) {
            // The same process is back, so it was not down. The connection to it failed and may fail again.
            falselySuspectedAt.put(controller, now);
        }
        log.accept((isDown ? "controller seems to be down" : "controller is reachable again") + ", controller="
                + controller);
    }

    /** Handles a controller's report on whether workers reach it. */
    void onWorkerReachability(String controller, boolean isIsolated) {
        if (isIsolated ? isolatedFromWorkers.add(controller) : isolatedFromWorkers.remove(controller)) {
            log.accept((isIsolated ? "controller is isolated from workers" : "controller is reached by workers again")
                    + ", controller=" + controller);
        }
    }

    /** Returns whether this controller has no connection to the given one. */
    boolean isSuspected(String controller) {
        return suspectedSince.containsKey(controller);
    }

    /**
     * Returns whether the controller has been suspected for less than one session lease duration. A process that is still live
     * one such duration after it was suspected wasn't down.
     */
    boolean isRecentlySuspected(long now, String controller) {
        Long since = suspectedSince.get(controller);
        return since != null && now - since < config.controllerLeaseMs();
    }

    /** Returns whether a suspicion of the controller recently turned out to be false. */
    boolean wasFalselySuspected(long now, String controller) {
        return now - falselySuspectedAt.getOrDefault(controller, Times.NEVER)
                < LEASES_AFTER_FALSE_SUSPICION * config.controllerLeaseMs();
    }

    /**
     * Returns whether all other controllers are suspected and there are several. The fault then lies with the network or with
     * this controller.
     */
    boolean suspectsAll() {
        int others = config.controllers().size() - 1;
        return others > 1 && suspectedSince.size() >= others;
    }

    /** Returns whether the controller last reported that no worker reaches it. */
    boolean isIsolatedFromWorkers(String controller) {
        return isolatedFromWorkers.contains(controller);
    }

    /**
     * Returns the milliseconds without a heartbeat from any machine after which a leader or a partition's owner counts as
     * isolated from the workers.
     */
    long isolationTimeoutMs() {
        return ISOLATION_LEASES * config.controllerLeaseMs() + ISOLATION_HEARTBEATS * config.heartbeatIntervalMs();
    }
}

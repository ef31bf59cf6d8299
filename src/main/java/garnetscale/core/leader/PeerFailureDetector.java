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
 * What this controller suspects of the others: which of them it has no link with, and which are isolated from the workers. Only a
 * reason to act sooner, never a proof.
 */
final class PeerFailureDetector {

    /** A controller that was wrongly suspected isn't believed to be down again for so many controller leases. */
    private static final int LEASES_AFTER_FALSE_ALARM = 8;
    /** How long nothing may be heard of any machine before that counts as isolation: the sum of these. */
    private static final int ISOLATION_LEASES = 2;

    private static final int ISOLATION_HEARTBEATS = 4;
    /** In place of the incarnation of a controller that the replica doesn't show. */
    private static final long UNKNOWN_INCARNATION = -1;

    private final SchedulerConfig config;
    private final StateReplica replica;
    private final Consumer<String> log;
    /** Since when this controller has no link with another. */
    private final Map<String, Long> suspectedSince = new HashMap<>();
    /** The incarnation that each suspicion was of. */
    private final Map<String, Long> suspectedIncarnations = new HashMap<>();
    /** When a suspicion last turned out to be wrong. */
    private final Map<String, Long> falseAlarms = new HashMap<>();

    private final Set<String> isolatedFromWorkers = new HashSet<>();

    PeerFailureDetector(SchedulerConfig config, StateReplica replica, Consumer<String> log) {
        this.config = config;
        this.replica = replica;
        this.log = log;
    }

    /** A controller's process seems to be down, or is heard of again. */
    void suspect(long now, String controller, boolean isDown) {
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
            // It is the same process: not down, but a link that fails, and may do so again.
            falseAlarms.put(controller, now);
        }
        log.accept((isDown ? "controller seems to be down" : "controller is reachable again") + ", controller="
                + controller);
    }

    /** A controller says whether workers reach it. */
    void onWorkerReachability(String controller, boolean isIsolated) {
        if (isIsolated ? isolatedFromWorkers.add(controller) : isolatedFromWorkers.remove(controller)) {
            log.accept((isIsolated ? "controller is isolated from workers" : "controller is reached by workers again")
                    + ", controller=" + controller);
        }
    }

    /** Whether this controller has no link with the other. */
    boolean isSuspect(String controller) {
        return suspectedSince.containsKey(controller);
    }

    /** Suspected for less than a controller lease: who outlives that wasn't down. */
    boolean isFreshlySuspected(long now, String controller) {
        Long since = suspectedSince.get(controller);
        return since != null && now - since < config.controllerLeaseMs();
    }

    /** Whether a suspicion of the controller was wrong a while ago. */
    boolean wasFalselySuspected(long now, String controller) {
        return now - falseAlarms.getOrDefault(controller, Times.NEVER)
                < LEASES_AFTER_FALSE_ALARM * config.controllerLeaseMs();
    }

    /** Whether all others are suspected, several of them: then it is the network, or this controller. */
    boolean suspectsAll() {
        int others = config.controllers().size() - 1;
        return others > 1 && suspectedSince.size() >= others;
    }

    /** Whether the controller last said that no worker reaches it. */
    boolean isIsolatedFromWorkers(String controller) {
        return isolatedFromWorkers.contains(controller);
    }

    /** Milliseconds without a heartbeat of any machine after which a leader or an owner counts as isolated from workers. */
    long isolationPatienceMs() {
        return ISOLATION_LEASES * config.controllerLeaseMs() + ISOLATION_HEARTBEATS * config.heartbeatIntervalMs();
    }
}

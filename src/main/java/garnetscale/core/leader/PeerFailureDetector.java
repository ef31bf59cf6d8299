package garnetscale.core.leader;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.partition.ControllerInfo;
import garnetscale.core.state.StateReplica;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * What this controller thinks of the others: which of them it can't speak with, and which say that no worker reaches them. Only
 * a reason to act sooner, never a proof.
 */
final class PeerFailureDetector {

    /** How long a controller that was wrongly suspected isn't again, in lives of a session lease. */
    private static final int TRUSTED_AFTER_FALSE_ALARM = 8;

    private final SchedulerConfig config;
    private final StateReplica replica;
    private final Consumer<String> log;
    /** Since when this controller can't speak with another. */
    private final Map<String, Long> suspects = new HashMap<>();
    /** The process that each suspicion was of. */
    private final Map<String, Long> suspectedAs = new HashMap<>();
    /** When a suspicion last turned out to be wrong. */
    private final Map<String, Long> falseAlarms = new HashMap<>();

    private final Set<String> isolatedFromWorkers = new HashSet<>();

    PeerFailureDetector(SchedulerConfig config, StateReplica replica, Consumer<String> log) {
        this.config = config;
        this.replica = replica;
        this.log = log;
    }

    /** A controller's process seems to be down, or is heard of again. */
    void suspect(long now, String node, boolean down) {
        boolean news = down ? suspects.putIfAbsent(node, now) == null : suspects.remove(node) != null;
        ControllerInfo info = replica.node(node);
        if (news && down) {
            suspectedAs.put(node, info == null ? -1 : info.incarnation());
        } else if (news && info != null && info.incarnation() == suspectedAs.get(node)) {
            // It is the same process: not down, but a link that fails, and may do so again.
            falseAlarms.put(node, now);
        }
        if (news) {
            log.accept("node " + node + (down ? " seems to be down" : " is heard of again"));
        }
    }

    /** A controller says whether workers reach it. */
    void onWorkerReachability(String node, boolean isIsolatedFromWorkers) {
        if (isIsolatedFromWorkers ? isolatedFromWorkers.add(node) : isolatedFromWorkers.remove(node)) {
            log.accept("node " + node + (isIsolatedFromWorkers ? " hears no worker" : " hears workers again"));
        }
    }

    boolean isSuspect(String node) {
        return suspects.containsKey(node);
    }

    /** Suspected for less than the life of a session lease: who outlives that wasn't down. */
    boolean isFreshlySuspected(long now, String node) {
        Long since = suspects.get(node);
        return since != null && now - since < config.controllerLeaseMs();
    }

    /** Whether a suspicion of the controller was wrong a while ago. */
    boolean wasFalselySuspected(long now, String node) {
        return now - falseAlarms.getOrDefault(node, Long.MIN_VALUE / 2)
                < TRUSTED_AFTER_FALSE_ALARM * config.controllerLeaseMs();
    }

    /** Whether all others are suspected, several of them: then it is the network, or this controller. */
    boolean suspectsAll() {
        int others = config.controllers().size() - 1;
        return others > 1 && suspects.size() >= others;
    }

    boolean isIsolatedFromWorkers(String node) {
        return isolatedFromWorkers.contains(node);
    }
}

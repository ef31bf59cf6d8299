package garnetscale.core.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The links between nodes, workers and the key-value store: delays, losses, repeats, partitions and frozen processes. */
final class SimulatedNetwork {

    private final SimulatedCluster cluster;
    private final Map<String, Long> cutUntil = new HashMap<>();
    final Map<String, Long> frozenUntil = new HashMap<>();
    /** Until then these machines reach no controller, while direct requests reach them. */
    final Map<String, Long> muteUntil = new HashMap<>();
    /** The share of messages that are lost. */
    double loss = 0.002;

    SimulatedNetwork(SimulatedCluster cluster) {
        this.cluster = cluster;
    }

    /** Cuts a node, a worker, or one direction of a link ({@code from>to}). */
    void cut(String who, long ms) {
        cutUntil.put(who, cluster.now + ms);
    }

    /** The node is isolated from the key-value store and its peers, both ways, but not from workers. */
    void cutFromAllButWorkers(String node, long ms) {
        cut(node + ">state", ms);
        cut("state>" + node, ms);
        for (SimulatedNode other : cluster.nodes) {
            cut(node + ">" + other.name, ms);
            cut(other.name + ">" + node, ms);
        }
    }

    /** A zone with its workers and controllers is isolated from everything else. */
    void cutZone(String zone, long ms) {
        List<String> inside = new ArrayList<>();
        List<String> outside = new ArrayList<>(List.of("state"));
        cluster.workers.forEach(worker -> (cluster.zoneOf(worker.id).equals(zone) ? inside : outside).add(worker.id));
        cluster.nodes.forEach(node -> (cluster.shape
                                .config(node.name)
                                .zoneOfController(node.name)
                                .equals(zone)
                        ? inside
                        : outside)
                .add(node.name));
        for (String insider : inside) {
            for (String outsider : outside) {
                cut(insider + ">" + outsider, ms);
                cut(outsider + ">" + insider, ms);
            }
        }
    }

    /** Heartbeats of the machine arrive; answers and direct requests to it are lost. */
    void cutMessagesTo(String worker, long ms) {
        cluster.nodes.forEach(node -> cut(node.name + ">" + worker, ms));
    }

    /** The node is isolated from its peers, both ways, and from nothing else. */
    void cutFromPeers(String node, long ms) {
        for (SimulatedNode other : cluster.nodes) {
            if (!other.name.equals(node)) {
                cut(node + ">" + other.name, ms);
                cut(other.name + ">" + node, ms);
            }
        }
    }

    /** The node freezes while time goes on: messages wait for it, and its timers fire afterwards. */
    void freeze(String node, long ms) {
        frozenUntil.put(node, cluster.now + ms);
    }

    /** Whether a node or a worker is frozen. */
    boolean isFrozen(String who) {
        return cluster.now < frozenUntil.getOrDefault(who, 0L);
    }

    /** Runs an action of a node or worker, once it isn't frozen. */
    void thawed(String who, Runnable run) {
        long left = frozenUntil.getOrDefault(who, 0L) - cluster.now;
        if (left > 0) {
            cluster.at(left + cluster.random.nextInt(20), run);
        } else {
            run.run();
        }
    }

    private boolean isCut(String from, String to) {
        return cluster.now < cutUntil.getOrDefault(from, 0L)
                || cluster.now < cutUntil.getOrDefault(to, 0L)
                || cluster.now < cutUntil.getOrDefault(from + ">" + to, 0L);
    }

    /**
     * Sends a message one way. During a cut it is lost, or held and delivered afterwards; now and then one is lost, or arrives
     * twice, the second time much later.
     */
    void send(String from, String to, Runnable receive) {
        Runnable deliver = () -> thawed(to, receive);
        long delay = 1 + cluster.random.nextInt(cluster.random.nextInt(20) == 0 ? 300 : 6);
        if (isCut(from, to)) {
            if (cluster.random.nextBoolean()) {
                long end = Math.max(
                        cutUntil.getOrDefault(from, 0L),
                        Math.max(cutUntil.getOrDefault(to, 0L), cutUntil.getOrDefault(from + ">" + to, 0L)));
                cluster.at(end - cluster.now + delay, deliver);
            }
            return;
        }
        if (cluster.random.nextDouble() < loss) {
            return;
        }
        cluster.at(delay, deliver);
        if (cluster.random.nextInt(200) == 0) {
            cluster.at(delay + cluster.random.nextInt(60_000), deliver);
        }
    }

    /** The machine reaches no controller, while direct requests reach it. */
    void mute(String worker, long ms) {
        muteUntil.put(worker, cluster.now + ms);
    }
}

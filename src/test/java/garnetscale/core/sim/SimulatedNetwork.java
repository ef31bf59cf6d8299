package garnetscale.core.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The links between controllers, workers and the state service: delays, losses, duplicates, cut links and frozen processes. */
final class SimulatedNetwork {

    private final SimulatedCluster cluster;
    /** Times until which links are cut, by process or by direction of a link ({@code from>to}). */
    private final Map<String, Long> cutUntil = new HashMap<>();

    /** Time until which a controller or worker is frozen, by process. */
    final Map<String, Long> frozenUntil = new HashMap<>();
    /** Time until which a machine's heartbeats reach no controller, while direct requests reach the machine; by machine. */
    final Map<String, Long> heartbeatsBlockedUntil = new HashMap<>();
    /** Share of the messages that are lost on links that are not cut. */
    double loss = 0.002;

    SimulatedNetwork(SimulatedCluster cluster) {
        this.cluster = cluster;
    }

    /** Cuts all links of a controller or worker, or one direction of a link ({@code from>to}). */
    void cut(String processOrLink, long ms) {
        cutUntil.put(processOrLink, cluster.now + ms);
        cluster.onTrouble(ms);
    }

    /** Isolates a controller from the state service and its peers, in both directions, but not from workers. */
    void cutFromAllButWorkers(String node, long ms) {
        cut(node + ">state", ms);
        cut("state>" + node, ms);
        for (SimulatedNode other : cluster.nodes) {
            cut(node + ">" + other.name, ms);
            cut(other.name + ">" + node, ms);
        }
    }

    /** Isolates a zone with its workers and controllers from everything else. */
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

    /** Cuts the links from all controllers to a machine: its heartbeats arrive, but answers and direct requests to it don't. */
    void cutMessagesTo(String worker, long ms) {
        cluster.nodes.forEach(node -> cut(node.name + ">" + worker, ms));
    }

    /** Isolates a controller from its peers, in both directions, and from nothing else. */
    void cutFromPeers(String node, long ms) {
        for (SimulatedNode other : cluster.nodes) {
            if (!other.name.equals(node)) {
                cut(node + ">" + other.name, ms);
                cut(other.name + ">" + node, ms);
            }
        }
    }

    /** Freezes a controller or worker while time advances: messages to it wait, and its timers fire afterwards. */
    void freeze(String process, long ms) {
        frozenUntil.put(process, cluster.now + ms);
        cluster.onTrouble(ms);
    }

    /** Returns whether a controller or worker is frozen. */
    boolean isFrozen(String process) {
        return cluster.now < frozenUntil.getOrDefault(process, 0L);
    }

    /** Runs an action of a controller or worker now, or up to 20 ms after it thaws. */
    void runWhenThawed(String process, Runnable run) {
        long left = frozenUntil.getOrDefault(process, 0L) - cluster.now;
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
     * Sends a message in one direction. During a cut, half of the messages are lost and the others are held and delivered
     * afterwards. Otherwise the share {@link #loss} is lost, and one in 200 arrives twice, the second time up to a minute later.
     */
    void send(String from, String to, Runnable receive) {
        Runnable deliver = () -> runWhenThawed(to, receive);
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

    /** Stops a machine's heartbeats from reaching any controller, while direct requests reach the machine. */
    void blockHeartbeats(String worker, long ms) {
        heartbeatsBlockedUntil.put(worker, cluster.now + ms);
        cluster.onTrouble(ms);
    }
}

package garnetscale.core.sim;

import garnetscale.core.machine.MachineType;
import garnetscale.core.machine.WorkerHeartbeat;
import garnetscale.core.partition.HeartbeatReply;
import garnetscale.emulator.WorkerModel;

/** A worker in simulated time: its model, and the heartbeats that it sends to one controller at a time. */
final class SimulatedWorker {

    private static final long RETRY_MS = 1000;

    final WorkerModel model;
    final String id;
    private final SimulatedCluster cluster;
    private int target;
    private long generation;

    SimulatedWorker(SimulatedCluster cluster, String id, MachineType type, String zone) {
        this.cluster = cluster;
        this.id = id;
        this.model =
                new WorkerModel(id, id, type, zone, SimulatedCluster.LEASE, 0, cluster.rules.jobs::get, cluster.rules);
        model.failTasks(task -> cluster.failingJobs.contains(task.job()));
        cluster.at(cluster.random.nextInt(1000), this::sendHeartbeat);
    }

    /** One heartbeat is in flight at a time; an answer counts for four seconds. */
    private void sendHeartbeat() {
        if (cluster.network.isFrozen(id)) {
            cluster.network.thawed(id, this::sendHeartbeat);
            return;
        }
        model.advance(cluster.now);
        WorkerHeartbeat heartbeat = model.heartbeat();
        long mine = ++generation;
        long sentAt = cluster.now;
        SimulatedNode node = cluster.nodes.get(target % cluster.nodes.size());
        copyOrKeep(heartbeat);
        if (cluster.now < cluster.network.muteUntil.getOrDefault(id, 0L)) {
            cluster.countOccurrence("a machine that reaches no controller");
            retryElsewhere(RETRY_MS);
            return;
        }
        cluster.network.send(
                id,
                node.name,
                () -> node.onHeartbeat(
                        heartbeat,
                        reply -> cluster.network.send(node.name, id, () -> {
                            if (mine == generation && !cluster.network.isFrozen(id)) {
                                generation++;
                                answered(heartbeat, sentAt, reply);
                            }
                        })));
        cluster.at(4000, () -> {
            if (mine == generation) {
                generation++;
                retryElsewhere(RETRY_MS);
            }
        });
    }

    /** Copies of the heartbeat arrive late, at any node, and nobody reads their answers. */
    private void copyOrKeep(WorkerHeartbeat heartbeat) {
        if (cluster.now < cluster.copiesUntil && cluster.random.nextInt(3) == 0) {
            SimulatedNode other = cluster.nodes.get(cluster.random.nextInt(cluster.nodes.size()));
            cluster.at(
                    1000 + cluster.random.nextInt(4 * (int) SimulatedCluster.LEASE),
                    () -> other.onHeartbeat(heartbeat, reply -> {}));
        }
        if (cluster.now < cluster.keepUntil && cluster.kept.size() < 200) {
            cluster.kept.add(heartbeat);
        }
    }

    private void answered(WorkerHeartbeat heartbeat, long sentAt, HeartbeatReply reply) {
        if (reply instanceof HeartbeatReply.Acknowledge acknowledged) {
            model.onHeartbeatReply(
                    cluster.now, sentAt, heartbeat.agentEpoch(), acknowledged.fencingToken(), acknowledged.commands());
            cluster.at(
                    SimulatedCluster.HEARTBEAT * 3 / 4 + cluster.random.nextInt((int) SimulatedCluster.HEARTBEAT / 2),
                    this::sendHeartbeat);
        } else if (reply instanceof HeartbeatReply.Redirect redirect && redirect.node() != null) {
            target = Integer.parseInt(redirect.node().substring(1));
            cluster.at(cluster.random.nextInt(500), this::sendHeartbeat);
        } else {
            retryElsewhere(RETRY_MS);
        }
    }

    /** The index of the controller that it sends heartbeats to, modulo their number. */
    int target() {
        return target;
    }

    private void retryElsewhere(long pauseMs) {
        target++;
        cluster.at(pauseMs, this::sendHeartbeat);
    }
}

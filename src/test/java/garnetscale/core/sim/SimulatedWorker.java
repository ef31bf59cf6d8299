package garnetscale.core.sim;

import garnetscale.core.machine.MachineType;
import garnetscale.core.machine.WorkerHeartbeat;
import garnetscale.core.partition.HeartbeatReply;
import garnetscale.emulator.WorkerModel;

/** A worker in simulated time: its model, and its heartbeats, which go to one controller at a time. */
final class SimulatedWorker {

    private static final long RETRY_MS = 1000;

    final WorkerModel model;
    final String id;
    private final SimulatedCluster cluster;
    private int target;
    /** Grows when a heartbeat is sent, answered or given up, so that late replies and time-outs are detected. */
    private long generation;

    SimulatedWorker(SimulatedCluster cluster, String id, MachineType type, String zone) {
        this.cluster = cluster;
        this.id = id;
        this.model = new WorkerModel(
                id,
                id,
                type,
                zone,
                SimulatedCluster.LEASE_MS,
                0,
                job -> cluster.unknownJobs.contains(job) ? null : cluster.rules.jobs.get(job),
                cluster.rules);
        model.failTasks(task -> cluster.failingJobs.contains(task.job()));
        cluster.at(cluster.random.nextInt(1000), this::sendHeartbeat);
    }

    /** Sends a heartbeat; only one is in flight at a time. Without a reply for 4 s, the worker tries another controller. */
    private void sendHeartbeat() {
        if (cluster.network.isFrozen(id)) {
            cluster.network.runWhenThawed(id, this::sendHeartbeat);
            return;
        }
        model.advance(cluster.now);
        WorkerHeartbeat heartbeat = model.heartbeat();
        long sentGeneration = ++generation;
        long sentAt = cluster.now;
        SimulatedNode node = cluster.nodes.get(target % cluster.nodes.size());
        copyOrHold(heartbeat);
        cluster.repeatedCommands.onHeartbeat(heartbeat);
        if (cluster.now < cluster.network.heartbeatsBlockedUntil.getOrDefault(id, 0L)) {
            cluster.countOccurrence("machine reaches no controller");
            retryElsewhere(RETRY_MS);
            return;
        }
        cluster.network.send(
                id,
                node.name,
                () -> node.onHeartbeat(
                        heartbeat,
                        reply -> cluster.network.send(node.name, id, () -> {
                            if (sentGeneration == generation && !cluster.network.isFrozen(id)) {
                                generation++;
                                onReply(heartbeat, sentAt, reply);
                            }
                        })));
        cluster.at(4000, () -> {
            if (sentGeneration == generation) {
                generation++;
                retryElsewhere(RETRY_MS);
            }
        });
    }

    /**
     * Schedules a late copy of the heartbeat to a random controller, whose reply is dropped, and holds another copy for the next
     * election. Does each only during the time that the scenario has set for it.
     */
    private void copyOrHold(WorkerHeartbeat heartbeat) {
        if (cluster.now < cluster.lateCopiesUntil && cluster.random.nextInt(3) == 0) {
            SimulatedNode other = cluster.nodes.get(cluster.random.nextInt(cluster.nodes.size()));
            cluster.at(
                    1000 + cluster.random.nextInt(4 * (int) SimulatedCluster.LEASE_MS),
                    () -> other.onHeartbeat(heartbeat, reply -> {}));
        }
        if (cluster.now < cluster.holdHeartbeatsUntil && cluster.heldHeartbeats.size() < 200) {
            cluster.heldHeartbeats.add(heartbeat);
        }
    }

    private void onReply(WorkerHeartbeat heartbeat, long sentAt, HeartbeatReply reply) {
        if (reply instanceof HeartbeatReply.Acknowledge acknowledged) {
            model.onHeartbeatReply(
                    cluster.now, sentAt, heartbeat.agentEpoch(), acknowledged.fencingToken(), acknowledged.commands());
            cluster.at(
                    SimulatedCluster.HEARTBEAT_MS * 3 / 4
                            + cluster.random.nextInt((int) SimulatedCluster.HEARTBEAT_MS / 2),
                    this::sendHeartbeat);
        } else if (reply instanceof HeartbeatReply.Redirect redirect && redirect.node() != null) {
            target = Integer.parseInt(redirect.node().substring(1));
            cluster.at(cluster.random.nextInt(500), this::sendHeartbeat);
        } else {
            retryElsewhere(RETRY_MS);
        }
    }

    /** Returns the index of the controller that receives the heartbeats, to be taken modulo the number of controllers. */
    int target() {
        return target;
    }

    private void retryElsewhere(long delayMs) {
        target++;
        cluster.at(delayMs, this::sendHeartbeat);
    }
}

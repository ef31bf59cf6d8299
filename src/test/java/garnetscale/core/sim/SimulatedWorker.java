package garnetscale.core.sim;

import garnetscale.core.machine.MachineType;
import garnetscale.core.machine.WorkerHeartbeat;
import garnetscale.core.partition.HeartbeatReply;
import garnetscale.emulator.WorkerModel;

/** A worker in simulated time: its model, and the reports that it sends to one controller at a time. */
final class SimulatedWorker {

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
        model.fail(t -> cluster.failingJobs.contains(t.job()));
        cluster.at(cluster.random.nextInt(1000), this::heartbeat);
    }

    /** One report in flight at a time; its answer counts for four seconds. */
    private void heartbeat() {
        if (cluster.network.isFrozen(id)) {
            cluster.network.thawed(id, this::heartbeat);
            return;
        }
        model.advance(cluster.now);
        WorkerHeartbeat r = model.heartbeat();
        long mine = ++generation;
        long sentAt = cluster.now;
        SimulatedNode node = cluster.nodes.get(target % cluster.nodes.size());
        if (cluster.now < cluster.copiesUntil && cluster.random.nextInt(3) == 0) {
            // A copy of the report comes late, to any node, and nobody reads its answer.
            SimulatedNode other = cluster.nodes.get(cluster.random.nextInt(cluster.nodes.size()));
            cluster.at(
                    1000 + cluster.random.nextInt(4 * (int) SimulatedCluster.LEASE),
                    () -> other.onHeartbeat(r, reply -> {}));
        }
        if (cluster.now < cluster.keepUntil && cluster.kept.size() < 200) {
            cluster.kept.add(r);
        }
        if (cluster.now < cluster.network.muteUntil.getOrDefault(id, 0L)) {
            cluster.met("a machine that reaches no controller");
            next(1000);
            return;
        }
        cluster.network.send(
                id,
                node.name,
                () -> node.onHeartbeat(
                        r,
                        reply -> cluster.network.send(node.name, id, () -> {
                            if (mine == generation && !cluster.network.isFrozen(id)) {
                                generation++;
                                answered(r, sentAt, reply);
                            }
                        })));
        cluster.at(4000, () -> {
            if (mine == generation) {
                generation++;
                next(1000);
            }
        });
    }

    private void answered(WorkerHeartbeat r, long sentAt, HeartbeatReply reply) {
        if (reply instanceof HeartbeatReply.Acknowledge a) {
            model.answered(cluster.now, sentAt, r.agentEpoch(), a.fencingToken(), a.commands());
            cluster.at(
                    SimulatedCluster.HEARTBEAT * 3 / 4 + cluster.random.nextInt((int) SimulatedCluster.HEARTBEAT / 2),
                    this::heartbeat);
        } else if (reply instanceof HeartbeatReply.Redirect to && to.node() != null) {
            target = Integer.parseInt(to.node().substring(1));
            cluster.at(cluster.random.nextInt(500), this::heartbeat);
        } else {
            next(1000);
        }
    }

    /** The index of the controller that it reports to. */
    int target() {
        return target;
    }

    private void next(long pause) {
        target++;
        cluster.at(pause, this::heartbeat);
    }
}

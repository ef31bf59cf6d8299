package garnetscale.core.sim;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.balance.BalanceSettings;
import garnetscale.core.bidding.Estimator;
import garnetscale.core.cluster.LeaderInfo;
import garnetscale.core.cluster.PartitionMap;
import garnetscale.core.leader.Leader;
import garnetscale.core.leader.TransactionPipeline;
import garnetscale.core.machine.MachineAddress;
import garnetscale.core.machine.Placement;
import garnetscale.core.machine.WorkerCommand;
import garnetscale.core.machine.WorkerHeartbeat;
import garnetscale.core.partition.HeartbeatReply;
import garnetscale.core.partition.MachineStatus;
import garnetscale.core.partition.OwnerEffect;
import garnetscale.core.partition.PartitionOwner;
import garnetscale.core.state.Layouts;
import garnetscale.core.state.StateReplica;
import garnetscale.core.state.Transaction;
import garnetscale.core.upgrade.VersionRange;
import garnetscale.emulator.WorkerModel;
import garnetscale.net.TokenBucket;
import java.util.List;
import java.util.function.Consumer;

/** A controller in simulated time: the roles of the core, and its links to workers and peers, process after process. */
final class SimulatedNode {

    final String name;
    private final SimulatedCluster cluster;
    StateReplica replica;
    PartitionOwner owner;
    Leader leader;
    private TransactionPipeline pipeline;
    private SimulatedStateLink stateLink;
    private long leadTerm;
    /** The number of this process; messages to an earlier one are dropped. */
    int life;

    boolean up;
    /** The layout versions that this process supports. */
    VersionRange layouts;
    /** Limits the leader's changes a second. */
    private TokenBucket pace;

    SimulatedNode(SimulatedCluster cluster, String name) {
        this.cluster = cluster;
        this.name = name;
        start();
    }

    private void start() {
        life++;
        up = true;
        layouts = cluster.installed.getOrDefault(name, Layouts.SUPPORTED);
        replica = new StateReplica(layouts);
        ClusterShape shape =
                cluster.unbalanced.contains(name) ? cluster.shape.withBalance(BalanceSettings.OFF) : cluster.shape;
        SchedulerConfig config = shape.config(name, layouts);
        PartitionMap partitions = new PartitionMap(config);
        owner = new PartitionOwner(config, replica, partitions, new Estimator(SimulatedCluster.HEARTBEAT));
        leader = new Leader(config, replica, partitions, line -> cluster.onLog.accept(name, line));
        pipeline = new TransactionPipeline(replica, leader);
        double leaderWrites = SimulatedCluster.LEADER_SHARE * config.stateWritesPerS();
        pace = new TokenBucket(leaderWrites, leaderWrites, cluster.now);
        leadTerm = -1;
        stateLink = new SimulatedStateLink(cluster, this);
        int process = life;
        loop(process, 20 + cluster.random.nextInt(30), this::work);
        loop(process, 400, stateLink::renew);
        loop(process, 60, stateLink::follow);
        loop(process, 3100, stateLink::watch);
        loop(
                process,
                1000,
                () -> peers(
                        node -> node.leader.onWorkerReachability(cluster.now, name, owner.isIsolatedFromWorkers())));
        loop(process, 1000, () -> {
            if (leader.leadingTerm() >= 0) {
                List<MachineAddress> machineDirectory = cluster.workers.stream()
                        .map(worker -> new MachineAddress(
                                worker.id, worker.id, worker.model.heartbeat().zone()))
                        .toList();
                peers(node -> node.owner.onMachineDirectory(
                        machineDirectory, leader.jobsWantingLateBids(), List.copyOf(leader.quarantinedJobs())));
            }
        });
    }

    private void loop(int process, long period, Runnable run) {
        after(period, () -> {
            if (life == process && up) {
                run.run();
                loop(process, period, run);
            }
        });
    }

    /** One of the node's own timers. */
    void after(long ms, Runnable run) {
        cluster.at(ms, () -> cluster.network.thawed(name, run));
    }

    void crash(long downMs) {
        cluster.network.frozenUntil.remove(name);
        up = false;
        life++;
        cluster.at(downMs, this::start);
    }

    void peers(Consumer<SimulatedNode> message) {
        for (SimulatedNode node : cluster.nodes) {
            if (node == this) {
                message.accept(node);
            } else {
                cluster.network.send(name, node.name, () -> {
                    if (node.up) {
                        message.accept(node);
                    }
                });
            }
        }
    }

    private void work() {
        if (!replica.isLoaded()) {
            return;
        }
        stateLink.register();
        owner.tick(cluster.now);
        owner.drainEffects().forEach(this::carryOut);
        if (!stateLink.hasLease()) {
            return;
        }
        if (!leader.leads(cluster.now)) {
            leadTerm = -1;
            Transaction election = leader.election(cluster.now);
            if (election != null && cluster.random.nextInt(4) == 0) {
                stateLink.commit(election, (outcome, revision) -> {});
            }
            return;
        }
        if (leader.leadingTerm() != leadTerm) {
            leadTerm = leader.leadingTerm();
            pipeline.restart();
            peers(node -> node.owner.resynchronize(cluster.now));
        }
        if (cluster.fault == SimulatedCluster.Fault.FREE_UNSEEN && cluster.random.nextInt(50) == 0) {
            reportFalseTermination(List.copyOf(leader.machines()));
        }
        if (cluster.state.limitsWrites && pace.waitMs(cluster.now, 1) > 0) {
            return;
        }
        Transaction transaction = pipeline.next(() -> leader.plan(cluster.now));
        if (transaction != null) {
            pace.takeUnconditionally(cluster.now, transaction.ops().size());
            stateLink.commit(transaction, (result, revision) -> {
                pipeline.ended(result, revision);
                pipeline.ready();
            });
        }
    }

    /** Tells the leader without any proof that the tasks of some machines are terminated. */
    private void reportFalseTermination(List<MachineStatus> seen) {
        for (int i = 0; i < seen.size(); i += 20) {
            MachineStatus status = seen.get(cluster.random.nextInt(seen.size()));
            List<Long> all = replica.placements(status.machine()).stream()
                    .map(Placement::attempt)
                    .toList();
            leader.onMachineStatus(
                    cluster.now,
                    new MachineStatus(
                            status.node(),
                            status.incarnation(),
                            status.partition(),
                            status.term(),
                            status.machine(),
                            status.address(),
                            status.type(),
                            status.zone(),
                            status.spot(),
                            status.agentEpoch(),
                            status.evictionNoticeS(),
                            status.silent(),
                            status.tasks(),
                            all));
        }
    }

    void onHeartbeat(WorkerHeartbeat heartbeat, Consumer<HeartbeatReply> answer) {
        if (up && replica.isLoaded()) {
            HeartbeatReply reply = owner.onHeartbeat(cluster.now, heartbeat);
            cluster.decisions.onReply(cluster.now, name, heartbeat.machine(), reply);
            answer.accept(reply);
            if (reply instanceof HeartbeatReply.Acknowledge acknowledged) {
                startsSent(heartbeat.machine(), acknowledged.commands());
            }
            owner.drainEffects().forEach(this::carryOut);
        }
    }

    private void carryOut(OwnerEffect effect) {
        cluster.decisions.onEffect(cluster.now, name, effect);
        LeaderInfo elected = replica.leader();
        if (effect instanceof OwnerEffect.SendCommands send) {
            command(send);
        } else if (effect instanceof OwnerEffect.ProbeWorker probe) {
            probe(probe.machine());
        } else if (elected != null) {
            SimulatedNode to = cluster.nodes.get(Integer.parseInt(elected.node().substring(1)));
            Consumer<SimulatedNode> message = effect instanceof OwnerEffect.PublishStatus publish
                    ? node -> node.leader.onMachineStatus(cluster.now, publish.machineStatus())
                    : node -> node.leader.onBids(cluster.now, ((OwnerEffect.SubmitBids) effect).batch());
            if (to == this) {
                message.accept(this);
            } else {
                cluster.network.send(name, to.name, () -> {
                    if (to.up) {
                        message.accept(to);
                    }
                });
            }
        }
    }

    private void probe(String machine) {
        WorkerModel worker = cluster.worker(machine).model;
        int process = life;
        boolean[] ended = new boolean[1];
        cluster.network.send(name, machine, () -> {
            worker.advance(cluster.now);
            WorkerHeartbeat heartbeat = worker.heartbeat();
            cluster.network.send(machine, name, () -> {
                if (life == process && !ended[0]) {
                    ended[0] = true;
                    owner.onProbeEnded();
                    owner.onProbeAnswer(cluster.now, heartbeat);
                }
            });
        });
        after(2000, () -> {
            if (life == process && !ended[0]) {
                ended[0] = true;
                owner.onProbeEnded();
            }
        });
    }

    private void startsSent(String machine, List<WorkerCommand> commands) {
        commands.stream()
                .filter(WorkerCommand.Start.class::isInstance)
                .forEach(start -> cluster.onStartSent.accept(machine, start.task()));
    }

    private void command(OwnerEffect.SendCommands send) {
        startsSent(send.machine(), send.commands());
        WorkerModel worker = cluster.worker(send.machine()).model;
        int process = life;
        boolean[] ended = new boolean[1];
        cluster.network.send(name, send.machine(), () -> {
            worker.onDirectCommands(cluster.now, send.fencingToken(), send.agentEpoch(), send.commands());
            WorkerHeartbeat heartbeat = worker.heartbeat();
            cluster.network.send(send.machine(), name, () -> {
                if (life == process && !ended[0]) {
                    ended[0] = true;
                    owner.onCommandAnswer(cluster.now, send.machine(), send.fencingToken(), heartbeat);
                }
            });
        });
        after(4000, () -> {
            if (life == process && !ended[0]) {
                ended[0] = true;
                owner.onCommandLost(cluster.now, send.machine(), send.fencingToken());
            }
        });
    }
}

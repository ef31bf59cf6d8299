package garnetscale.core.sim;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.balance.BalanceSettings;
import garnetscale.core.bidding.Estimator;
import garnetscale.core.cluster.LeaderInfo;
import garnetscale.core.cluster.PartitionLease;
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

/** A controller in simulated time: the roles of the core, its links to workers and peers, and its restarts. */
final class SimulatedNode {

    final String name;
    private final SimulatedCluster cluster;
    StateReplica replica;
    PartitionOwner owner;
    Leader leader;
    private TransactionPipeline pipeline;
    private SimulatedStateLink stateLink;
    private long lastLeadingTerm;
    /** The number of the current process; it grows at each crash and start, and messages to an earlier process are dropped. */
    int processNumber;

    boolean up;
    /** The layout versions that this process supports. */
    VersionRange layouts;
    /** Limits the changes per second that the leader writes. */
    private TokenBucket writeRate;

    SimulatedNode(SimulatedCluster cluster, String name) {
        this.cluster = cluster;
        this.name = name;
        start();
    }

    private void start() {
        processNumber++;
        up = true;
        layouts = cluster.installedLayouts.getOrDefault(name, Layouts.SUPPORTED);
        replica = new StateReplica(layouts);
        ClusterShape shape = cluster.withoutBalancing.contains(name)
                ? cluster.shape.withBalance(BalanceSettings.OFF)
                : cluster.shape;
        SchedulerConfig config = shape.config(name, layouts);
        PartitionMap partitions = new PartitionMap(config);
        owner = new PartitionOwner(config, replica, partitions, new Estimator(SimulatedCluster.HEARTBEAT_MS));
        leader = new Leader(config, replica, partitions, line -> cluster.onLog.accept(name, line));
        pipeline = new TransactionPipeline(replica, leader);
        double leaderWritesPerS = SimulatedCluster.LEADER_SHARE * config.stateWritesPerS();
        writeRate = new TokenBucket(leaderWritesPerS, leaderWritesPerS, cluster.now);
        lastLeadingTerm = -1;
        stateLink = new SimulatedStateLink(cluster, this);
        int process = processNumber;
        repeat(process, 20 + cluster.random.nextInt(30), this::runRoles);
        repeat(process, 400, stateLink::renewLease);
        repeat(process, 60, stateLink::readChanges);
        repeat(process, 3100, stateLink::watch);
        repeat(
                process,
                1000,
                () -> sendToAll(
                        node -> node.leader.onWorkerReachability(cluster.now, name, owner.isIsolatedFromWorkers())));
        repeat(process, 1000, () -> {
            if (leader.leadingTerm() >= 0) {
                List<MachineAddress> machineDirectory = cluster.workers.stream()
                        .map(worker -> new MachineAddress(
                                worker.id, worker.id, worker.model.heartbeat().zone()))
                        .toList();
                sendToAll(node -> node.owner.onMachineDirectory(
                        machineDirectory, leader.jobsWantingLateBids(), List.copyOf(leader.quarantinedJobs())));
            }
        });
    }

    /** Runs an action periodically for as long as this process is up. */
    private void repeat(int process, long periodMs, Runnable run) {
        after(periodMs, () -> {
            if (processNumber == process && up) {
                run.run();
                repeat(process, periodMs, run);
            }
        });
    }

    /** Schedules a timer of this controller, which fires late if the controller is frozen. */
    void after(long ms, Runnable run) {
        cluster.at(ms, () -> cluster.network.runWhenThawed(name, run));
    }

    void crash(long downMs) {
        cluster.network.frozenUntil.remove(name);
        up = false;
        processNumber++;
        cluster.onTrouble(downMs);
        cluster.at(downMs, this::start);
    }

    /** Delivers a message to this controller itself at once, and sends it to all others. */
    void sendToAll(Consumer<SimulatedNode> message) {
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

    private void runRoles() {
        if (!replica.isLoaded()) {
            return;
        }
        stateLink.register();
        owner.tick(cluster.now);
        owner.drainEffects().forEach(this::perform);
        if (!stateLink.hasLease()) {
            return;
        }
        if (!leader.leads(cluster.now)) {
            lastLeadingTerm = -1;
            Transaction election = leader.election(cluster.now);
            if (election != null && cluster.random.nextInt(4) == 0) {
                stateLink.commit(election, (outcome, revision) -> {});
            }
            return;
        }
        if (leader.leadingTerm() != lastLeadingTerm) {
            lastLeadingTerm = leader.leadingTerm();
            pipeline.restart();
            sendToAll(node -> node.owner.resynchronize(cluster.now));
        }
        if (cluster.fault == SimulatedCluster.Fault.FALSE_TERMINATION && cluster.random.nextInt(50) == 0) {
            reportFalseTermination(List.copyOf(leader.machines()));
        }
        if (cluster.state.limitsWrites && writeRate.waitMs(cluster.now, 1) > 0) {
            return;
        }
        Transaction transaction = pipeline.next(() -> leader.plan(cluster.now));
        if (transaction != null) {
            writeRate.takeUnconditionally(cluster.now, transaction.ops().size());
            stateLink.commit(transaction, (result, revision) -> {
                pipeline.ended(result, revision);
                pipeline.ready();
            });
        }
    }

    /** Passes the leader status messages that declare all tasks of some machines terminated, without any proof. */
    private void reportFalseTermination(List<MachineStatus> statuses) {
        for (int i = 0; i < statuses.size(); i += 20) {
            MachineStatus status = statuses.get(cluster.random.nextInt(statuses.size()));
            List<Long> attempts = replica.placements(status.machine()).stream()
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
                            attempts));
        }
    }

    void onHeartbeat(WorkerHeartbeat heartbeat, Consumer<HeartbeatReply> replyTo) {
        if (up && replica.isLoaded()) {
            HeartbeatReply reply = owner.onHeartbeat(cluster.now, heartbeat);
            cluster.decisionObserver.onReply(cluster.now, name, heartbeat.machine(), reply);
            replyTo.accept(reply);
            if (reply instanceof HeartbeatReply.Acknowledge acknowledged) {
                notifyStartsSent(heartbeat.machine(), acknowledged.commands());
            }
            owner.drainEffects().forEach(this::perform);
        }
    }

    private void perform(OwnerEffect effect) {
        cluster.decisionObserver.onEffect(cluster.now, name, effect);
        LeaderInfo storedLeader = replica.leader();
        if (effect instanceof OwnerEffect.SendCommands send) {
            sendCommands(send);
        } else if (effect instanceof OwnerEffect.ProbeWorker probe) {
            probe(probe.machine());
        } else if (storedLeader != null) {
            SimulatedNode target =
                    cluster.nodes.get(Integer.parseInt(storedLeader.node().substring(1)));
            Consumer<SimulatedNode> message = effect instanceof OwnerEffect.PublishStatus publish
                    ? node -> node.onMachineStatus(publish.machineStatus())
                    : node -> node.leader.onBids(cluster.now, ((OwnerEffect.SubmitBids) effect).batch());
            if (target == this) {
                message.accept(this);
            } else {
                cluster.network.send(name, target.name, () -> {
                    if (target.up) {
                        message.accept(target);
                    }
                });
            }
        }
    }

    private void onMachineStatus(MachineStatus status) {
        PartitionLease lease = replica.partition(status.partition());
        if (leader.leadingTerm() >= 0 && (lease == null || lease.term() < status.term())) {
            cluster.countOccurrence("status before its lease");
        }
        leader.onMachineStatus(cluster.now, status);
    }

    private void probe(String machine) {
        WorkerModel worker = cluster.worker(machine).model;
        int process = processNumber;
        boolean[] ended = new boolean[1];
        cluster.network.send(name, machine, () -> {
            worker.advance(cluster.now);
            WorkerHeartbeat heartbeat = worker.heartbeat();
            cluster.network.send(machine, name, () -> {
                if (processNumber == process && !ended[0]) {
                    ended[0] = true;
                    owner.onProbeEnded();
                    owner.onProbeAnswer(cluster.now, heartbeat);
                }
            });
        });
        after(2000, () -> {
            if (processNumber == process && !ended[0]) {
                ended[0] = true;
                owner.onProbeEnded();
            }
        });
    }

    private void notifyStartsSent(String machine, List<WorkerCommand> commands) {
        commands.stream()
                .filter(WorkerCommand.Start.class::isInstance)
                .forEach(start -> cluster.onStartSent.accept(machine, start.task()));
    }

    private void sendCommands(OwnerEffect.SendCommands send) {
        notifyStartsSent(send.machine(), send.commands());
        WorkerModel worker = cluster.worker(send.machine()).model;
        int process = processNumber;
        boolean[] ended = new boolean[1];
        cluster.network.send(name, send.machine(), () -> {
            boolean isCarriedOut =
                    worker.onDirectCommands(cluster.now, send.fencingToken(), send.agentEpoch(), send.commands());
            WorkerHeartbeat heartbeat = worker.heartbeat();
            cluster.network.send(send.machine(), name, () -> {
                if (processNumber == process && !ended[0]) {
                    ended[0] = true;
                    owner.onCommandAnswer(cluster.now, send.machine(), send.fencingToken(), heartbeat);
                    if (isCarriedOut) {
                        cluster.repeatedCommands.onAnswered(name, send);
                    }
                }
            });
        });
        after(4000, () -> {
            if (processNumber == process && !ended[0]) {
                ended[0] = true;
                owner.onCommandLost(cluster.now, send.machine(), send.fencingToken());
            }
        });
    }
}

package garnetscale.core.sim;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.balance.BalanceSettings;
import garnetscale.core.bidding.Estimator;
import garnetscale.core.leader.Leader;
import garnetscale.core.leader.TransactionPipeline;
import garnetscale.core.machine.MachineAddress;
import garnetscale.core.machine.Placement;
import garnetscale.core.machine.WorkerCommand;
import garnetscale.core.machine.WorkerHeartbeat;
import garnetscale.core.partition.ControllerInfo;
import garnetscale.core.partition.HeartbeatReply;
import garnetscale.core.partition.LeaderInfo;
import garnetscale.core.partition.MachineStatus;
import garnetscale.core.partition.OwnerEffect;
import garnetscale.core.partition.PartitionMap;
import garnetscale.core.partition.PartitionOwner;
import garnetscale.core.state.KeyChange;
import garnetscale.core.state.Keys;
import garnetscale.core.state.Layouts;
import garnetscale.core.state.Records;
import garnetscale.core.state.StateReplica;
import garnetscale.core.state.Transaction;
import garnetscale.core.state.TransactionOutcome;
import garnetscale.core.upgrade.VersionRange;
import garnetscale.emulator.WorkerModel;
import garnetscale.net.TokenBucket;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/** A controller in simulated time: the roles of the core, its links to the others, and its processes one after the other. */
final class SimulatedNode {

    final String name;
    private final SimulatedCluster cluster;
    private StateReplica replica;
    PartitionOwner owner;
    Leader leader;
    private TransactionPipeline pipeline;
    private long lease;
    private boolean listing;
    private long leadTerm;
    /** Of this process; what was meant for an earlier one is dropped. */
    private int life;

    boolean up;
    /** What this process supports. */
    VersionRange layouts;
    /** A leader's part of the changes a second. */
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
        SchedulerConfig p = shape.config(name, layouts);
        PartitionMap partitions = new PartitionMap(p);
        owner = new PartitionOwner(p, replica, partitions, new Estimator(SimulatedCluster.HEARTBEAT));
        leader = new Leader(p, replica, partitions, line -> cluster.onLog.accept(name, line));
        pipeline = new TransactionPipeline(replica, leader);
        double leaderWrites = SimulatedCluster.LEADER_SHARE * p.stateWritesPerS();
        pace = new TokenBucket(leaderWrites, leaderWrites, cluster.now);
        lease = -1;
        leadTerm = -1;
        listing = false;
        int mine = life;
        loop(mine, 20 + cluster.random.nextInt(30), this::work);
        loop(mine, 400, this::renew);
        loop(mine, 60, this::follow);
        loop(mine, 3100, this::watch);
        loop(
                mine,
                1000,
                () -> peers(n -> n.leader.onWorkerReachability(cluster.now, name, owner.isolatedFromWorkers())));
        loop(mine, 1000, () -> {
            if (leader.leadingTerm() >= 0) {
                List<MachineAddress> machineDirectory = cluster.workers.stream()
                        .map(w -> new MachineAddress(
                                w.id, w.id, w.model.heartbeat().zone()))
                        .toList();
                peers(n -> n.owner.onMachineDirectory(
                        machineDirectory, leader.lateJobs(), List.copyOf(leader.suspects())));
            }
        });
    }

    private void loop(int mine, long period, Runnable run) {
        after(period, () -> {
            if (life == mine && up) {
                run.run();
                loop(mine, period, run);
            }
        });
    }

    /** One of the node's own timers. */
    private void after(long ms, Runnable run) {
        cluster.at(ms, () -> cluster.network.thawed(name, run));
    }

    void crash(long downMs) {
        cluster.network.frozenUntil.remove(name);
        up = false;
        life++;
        cluster.at(downMs, this::start);
    }

    void peers(Consumer<SimulatedNode> message) {
        for (SimulatedNode n : cluster.nodes) {
            if (n == this) {
                message.accept(n);
            } else {
                cluster.network.send(name, n.name, () -> {
                    if (n.up) {
                        message.accept(n);
                    }
                });
            }
        }
    }

    /** A request to the state service; the answer is dropped when this process is over or too late. */
    private <T> void ask(java.util.function.Supplier<T> request, T refused, Consumer<T> answer, Runnable lost) {
        int mine = life;
        boolean[] over = new boolean[1];
        cluster.network.send(name, "state", () -> {
            T result = cluster.state.refuses(name) ? refused : request.get();
            Runnable back = () -> cluster.network.send("state", name, () -> {
                if (life == mine && !over[0]) {
                    over[0] = true;
                    answer.accept(result);
                }
            });
            if (cluster.now < cluster.state.slowUntil) {
                cluster.at(cluster.random.nextInt(cluster.state.slowMs), back);
            } else {
                back.run();
            }
        });
        after(2000, () -> {
            if (life == mine && !over[0]) {
                over[0] = true;
                lost.run();
            }
        });
    }

    /** A watch: answered when something has changed or its time is over, and hanging open while the store refuses. */
    private void watch() {
        if (!cluster.watches || !replica.loaded() || listing) {
            return;
        }
        int mine = life;
        long sentAt = cluster.now;
        long since = replica.revision();
        cluster.network.send(
                name,
                "state",
                () -> hangOpen(
                        since,
                        cluster.now + 3000,
                        a -> cluster.network.send("state", name, () -> {
                            if (life == mine && !listing) {
                                replica.advance(a.changes(), a.revision());
                                if (!replica.inconsistent()) {
                                    owner.confirmed(sentAt);
                                }
                            }
                        })));
    }

    private void hangOpen(long since, long until, Consumer<Answer> answer) {
        List<KeyChange> changes =
                cluster.state.refuses(name) ? List.of() : cluster.state.model.changes(Keys.MIRRORED, since);
        if (cluster.state.refuses(name) || changes.isEmpty() && cluster.now < until) {
            if (cluster.state.refuses(name)) {
                cluster.met("a watch hung open through a refusal");
            }
            cluster.at(40, () -> hangOpen(since, until, answer));
        } else {
            answer.accept(new Answer(changes, cluster.state.model.revision()));
        }
    }

    private void renew() {
        if (replica.unreadable() != null) {
            cluster.met("stood aside");
            return;
        }
        if (lease < 0) {
            ask(
                    () -> cluster.state.model.grant(cluster.now, 1500),
                    -1L,
                    id -> {
                        if (lease < 0 && id >= 0) {
                            lease = id;
                        }
                    },
                    () -> {});
            return;
        }
        long mine = lease;
        ask(
                () -> cluster.state.model.touch(cluster.now, mine) ? 1 : 0,
                -1,
                ok -> {
                    if (ok == 0 && lease == mine) {
                        lease = -1;
                        owner.onLeaseGranted(-1);
                        leader.onLeaseGranted(-1);
                    }
                },
                () -> {});
    }

    private record Answer(List<KeyChange> changes, long revision) {}

    private void follow() {
        if (listing) {
            return;
        }
        if (!replica.loaded() || replica.inconsistent()) {
            listing = true;
            page(cluster.now, null, new ArrayList<>(), -1);
            return;
        }
        long sentAt = cluster.now;
        long since = replica.revision();
        ask(
                () -> new Answer(cluster.state.model.changes(Keys.MIRRORED, since), cluster.state.model.revision()),
                new Answer(null, 0),
                a -> {
                    if (a.changes() != null && !listing) {
                        replica.advance(a.changes(), a.revision());
                        if (!replica.inconsistent()) {
                            owner.confirmed(sentAt);
                        }
                    }
                },
                () -> {});
    }

    /** Reads a page of a listing; the store goes on changing between pages. */
    private void page(long sentAt, String since, List<KeyChange> sofar, long first) {
        ask(
                () -> new Answer(
                        cluster.state.model.list(Keys.MIRRORED, since, SimulatedCluster.PAGE),
                        cluster.state.model.revision()),
                new Answer(null, 0),
                a -> {
                    if (a.changes() == null) {
                        listing = false;
                        return;
                    }
                    sofar.addAll(a.changes());
                    long revision = first < 0 ? a.revision() : first;
                    if (a.changes().size() == SimulatedCluster.PAGE) {
                        page(sentAt, sofar.get(sofar.size() - 1).key(), sofar, revision);
                        return;
                    }
                    listing = false;
                    replica.reset(sofar, revision);
                    if (replica.loaded()) {
                        owner.confirmed(sentAt);
                    }
                },
                () -> listing = false);
    }

    private void register() {
        ControllerInfo me = replica.node(name);
        if (lease >= 0 && (me == null || me.incarnation() != lease)) {
            commit(
                    new Transaction()
                            .guard(Keys.node(name), replica.modRevision(Keys.node(name)))
                            .put(
                                    Keys.node(name),
                                    Records.node(new ControllerInfo(
                                            name,
                                            lease,
                                            cluster.shape.config(name).zoneOfNode(name),
                                            layouts)),
                                    lease),
                    (r, l) -> {});
        } else if (lease >= 0) {
            owner.onLeaseGranted(lease);
            leader.onLeaseGranted(lease);
        }
    }

    private void commit(Transaction transaction, BiConsumer<TransactionOutcome, Long> done) {
        if (!replica.loaded()) {
            done.accept(TransactionOutcome.REFUSED, -1L);
            return;
        }
        replica.guardVersion(transaction);
        cluster.decisions.onTransaction(cluster.now, name, transaction);
        if (cluster.now < cluster.state.lateUntil && cluster.random.nextDouble() < cluster.state.lateShare) {
            int mine = life;
            cluster.at(
                    cluster.state.lateAtOnce ? 1 + cluster.random.nextInt(5) : 2000 + cluster.random.nextInt(10_000),
                    () -> cluster.met(
                            cluster.now >= cluster.state.outageUntil && cluster.state.commit(this, transaction) == 200
                                    ? "carried out without an answer"
                                    : "late and overtaken"));
            after(2000, () -> {
                if (life == mine) {
                    done.accept(TransactionOutcome.MAYBE, -1L);
                }
            });
            return;
        }
        ask(
                () -> {
                    int status = cluster.state.commit(this, transaction);
                    TransactionOutcome result = status == 200
                            ? TransactionOutcome.OK
                            : status == 409
                                    ? TransactionOutcome.CONFLICT
                                    : status == SimulatedStateService.TOO_MANY
                                            ? TransactionOutcome.REFUSED
                                            : TransactionOutcome.NO_LEASE;
                    return new Object[] {result, cluster.state.model.revision()};
                },
                new Object[] {TransactionOutcome.REFUSED, -1L},
                r -> done.accept((TransactionOutcome) r[0], (Long) r[1]),
                () -> done.accept(TransactionOutcome.MAYBE, -1L));
    }

    private void work() {
        if (!replica.loaded()) {
            return;
        }
        register();
        owner.tick(cluster.now);
        owner.drain().forEach(this::carryOut);
        if (lease < 0) {
            return;
        }
        if (!leader.leads(cluster.now)) {
            leadTerm = -1;
            Transaction election = leader.election(cluster.now);
            if (election != null && cluster.random.nextInt(4) == 0) {
                commit(election, (r, l) -> {});
            }
            return;
        }
        if (leader.leadingTerm() != leadTerm) {
            leadTerm = leader.leadingTerm();
            pipeline.restart();
            peers(n -> n.owner.resynchronize(cluster.now));
        }
        if (cluster.fault == SimulatedCluster.Fault.FREE_UNSEEN && cluster.random.nextInt(50) == 0) {
            lie(List.copyOf(leader.machines()));
        }
        if (cluster.state.limitsWrites && pace.waitMs(cluster.now, 1) > 0) {
            return;
        }
        Transaction transaction = pipeline.next(() -> leader.plan(cluster.now));
        if (transaction != null) {
            pace.force(cluster.now, transaction.ops().size());
            commit(transaction, (result, revision) -> {
                pipeline.ended(result, revision);
                pipeline.ready();
            });
        }
    }

    /** Tells the leader that what is placed on some machines is gone, without any proof. */
    private void lie(List<MachineStatus> seen) {
        for (int i = 0; i < seen.size(); i += 20) {
            MachineStatus o = seen.get(cluster.random.nextInt(seen.size()));
            List<Long> all = replica.placements(o.machine()).stream()
                    .map(Placement::attempt)
                    .toList();
            leader.onMachineStatus(
                    cluster.now,
                    new MachineStatus(
                            o.node(),
                            o.incarnation(),
                            o.partition(),
                            o.term(),
                            o.machine(),
                            o.address(),
                            o.type(),
                            o.zone(),
                            o.spot(),
                            o.agentEpoch(),
                            o.evictionNoticeS(),
                            o.silent(),
                            o.tasks(),
                            all));
        }
    }

    void onHeartbeat(WorkerHeartbeat r, Consumer<HeartbeatReply> answer) {
        if (up && replica.loaded()) {
            HeartbeatReply reply = owner.onHeartbeat(cluster.now, r);
            cluster.decisions.onReply(cluster.now, name, r.machine(), reply);
            answer.accept(reply);
            if (reply instanceof HeartbeatReply.Acknowledge a) {
                startsSent(r.machine(), a.commands());
            }
            owner.drain().forEach(this::carryOut);
        }
    }

    private void carryOut(OwnerEffect e) {
        cluster.decisions.onEffect(cluster.now, name, e);
        LeaderInfo l = replica.leader();
        if (e instanceof OwnerEffect.SendCommands c) {
            command(c);
        } else if (e instanceof OwnerEffect.ProbeWorker p) {
            WorkerModel w = cluster.worker(p.machine()).model;
            int mine = life;
            boolean[] over = new boolean[1];
            cluster.network.send(name, p.machine(), () -> {
                w.advance(cluster.now);
                WorkerHeartbeat r = w.heartbeat();
                cluster.network.send(p.machine(), name, () -> {
                    if (life == mine && !over[0]) {
                        over[0] = true;
                        owner.onProbeEnded();
                        owner.onProbeAnswer(cluster.now, r);
                    }
                });
            });
            after(2000, () -> {
                if (life == mine && !over[0]) {
                    over[0] = true;
                    owner.onProbeEnded();
                }
            });
        } else if (l != null) {
            SimulatedNode to = cluster.nodes.get(Integer.parseInt(l.node().substring(1)));
            Consumer<SimulatedNode> message = e instanceof OwnerEffect.PublishStatus t
                    ? n -> n.leader.onMachineStatus(cluster.now, t.machineStatus())
                    : n -> n.leader.onBids(cluster.now, ((OwnerEffect.SubmitBids) e).batch());
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

    private void startsSent(String machine, List<WorkerCommand> commands) {
        commands.stream()
                .filter(WorkerCommand.Start.class::isInstance)
                .forEach(o -> cluster.onStartSent.accept(machine, o.task()));
    }

    private void command(OwnerEffect.SendCommands c) {
        startsSent(c.machine(), c.commands());
        WorkerModel w = cluster.worker(c.machine()).model;
        int mine = life;
        boolean[] over = new boolean[1];
        cluster.network.send(name, c.machine(), () -> {
            w.command(cluster.now, c.fencingToken(), c.agentEpoch(), c.commands());
            WorkerHeartbeat r = w.heartbeat();
            cluster.network.send(c.machine(), name, () -> {
                if (life == mine && !over[0]) {
                    over[0] = true;
                    owner.onCommandAnswer(cluster.now, c.machine(), c.fencingToken(), r);
                }
            });
        });
        after(4000, () -> {
            if (life == mine && !over[0]) {
                over[0] = true;
                owner.onCommandLost(cluster.now, c.machine(), c.fencingToken());
            }
        });
    }
}

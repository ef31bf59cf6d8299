package garnetscale.core.sim;

import garnetscale.core.Params;
import garnetscale.core.balance.BalanceSettings;
import garnetscale.core.bid.Estimator;
import garnetscale.core.block.BlockHolder;
import garnetscale.core.block.Blocks;
import garnetscale.core.block.LeaderInfo;
import garnetscale.core.block.NodeInfo;
import garnetscale.core.block.Observation;
import garnetscale.core.lead.Leader;
import garnetscale.core.lead.Pipeline;
import garnetscale.core.machine.Address;
import garnetscale.core.machine.Placement;
import garnetscale.core.machine.Report;
import garnetscale.core.machine.WorkerCommand;
import garnetscale.core.store.Change;
import garnetscale.core.store.Keys;
import garnetscale.core.store.Layouts;
import garnetscale.core.store.Records;
import garnetscale.core.store.StateReplica;
import garnetscale.core.store.Txn;
import garnetscale.core.store.TxnResult;
import garnetscale.core.upgrade.VersionRange;
import garnetscale.net.Budget;
import garnetscale.standin.WorkerModel;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/** A controller in simulated time: the roles of the core, its links to the others, and its processes one after the other. */
final class SimulatedNode {

    final String name;
    private final SimulatedCluster cluster;
    private StateReplica replica;
    BlockHolder holder;
    Leader leader;
    private Pipeline pipeline;
    private long lease;
    private boolean listing;
    private long leadTerm;
    /** Of this process; what was meant for an earlier one is dropped. */
    private int life;

    boolean up;
    /** What this process supports. */
    VersionRange layouts;
    /** A leader's part of the changes a second. */
    private Budget pace;

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
        Params p = shape.params(name, layouts);
        Blocks blocks = new Blocks(p);
        holder = new BlockHolder(p, replica, blocks, new Estimator(SimulatedCluster.REPORT));
        leader = new Leader(p, replica, blocks, line -> cluster.onLog.accept(name, line));
        pipeline = new Pipeline(replica, leader);
        double leaderWrites = SimulatedCluster.LEADER_SHARE * p.stateWritesPerS();
        pace = new Budget(leaderWrites, leaderWrites, cluster.now);
        lease = -1;
        leadTerm = -1;
        listing = false;
        int mine = life;
        loop(mine, 20 + cluster.random.nextInt(30), this::work);
        loop(mine, 400, this::renew);
        loop(mine, 60, this::follow);
        loop(mine, 3100, this::watch);
        loop(mine, 1000, () -> peers(n -> n.leader.hears(cluster.now, name, holder.deaf())));
        loop(mine, 1000, () -> {
            if (leader.leadingTerm() >= 0) {
                List<Address> book = cluster.workers.stream()
                        .map(w -> new Address(w.id, w.id, w.model.report().zone()))
                        .toList();
                peers(n -> n.holder.onBook(book, leader.lateJobs(), List.copyOf(leader.suspects())));
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
        cluster.at(ms, () -> cluster.thawed(name, run));
    }

    void crash(long downMs) {
        cluster.frozenUntil.remove(name);
        up = false;
        life++;
        cluster.at(downMs, this::start);
    }

    void peers(Consumer<SimulatedNode> message) {
        for (SimulatedNode n : cluster.nodes) {
            if (n == this) {
                message.accept(n);
            } else {
                cluster.send(name, n.name, () -> {
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
        cluster.send(name, "state", () -> {
            T result = cluster.refuses(name) ? refused : request.get();
            Runnable back = () -> cluster.send("state", name, () -> {
                if (life == mine && !over[0]) {
                    over[0] = true;
                    answer.accept(result);
                }
            });
            if (cluster.now < cluster.slowUntil) {
                cluster.at(cluster.random.nextInt(cluster.slowMs), back);
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
        long since = replica.ledger();
        cluster.send(
                name,
                "state",
                () -> hangOpen(
                        since,
                        cluster.now + 3000,
                        a -> cluster.send("state", name, () -> {
                            if (life == mine && !listing) {
                                replica.advance(a.changes(), a.ledger());
                                if (!replica.torn()) {
                                    holder.confirmed(sentAt);
                                }
                            }
                        })));
    }

    private void hangOpen(long since, long until, Consumer<Answer> answer) {
        List<Change> changes = cluster.refuses(name) ? List.of() : cluster.state.changes(Keys.MIRRORED, since);
        if (cluster.refuses(name) || changes.isEmpty() && cluster.now < until) {
            if (cluster.refuses(name)) {
                cluster.met("a watch hung open through a refusal");
            }
            cluster.at(40, () -> hangOpen(since, until, answer));
        } else {
            answer.accept(new Answer(changes, cluster.state.ledger()));
        }
    }

    private void renew() {
        if (replica.unreadable() != null) {
            cluster.met("stood aside");
            return;
        }
        if (lease < 0) {
            ask(
                    () -> cluster.state.grant(cluster.now, 1500),
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
                () -> cluster.state.touch(cluster.now, mine) ? 1 : 0,
                -1,
                ok -> {
                    if (ok == 0 && lease == mine) {
                        lease = -1;
                        holder.incarnate(-1);
                        leader.incarnate(-1);
                    }
                },
                () -> {});
    }

    private record Answer(List<Change> changes, long ledger) {}

    private void follow() {
        if (listing) {
            return;
        }
        if (!replica.loaded() || replica.torn()) {
            listing = true;
            page(cluster.now, null, new ArrayList<>(), -1);
            return;
        }
        long sentAt = cluster.now;
        long since = replica.ledger();
        ask(
                () -> new Answer(cluster.state.changes(Keys.MIRRORED, since), cluster.state.ledger()),
                new Answer(null, 0),
                a -> {
                    if (a.changes() != null && !listing) {
                        replica.advance(a.changes(), a.ledger());
                        if (!replica.torn()) {
                            holder.confirmed(sentAt);
                        }
                    }
                },
                () -> {});
    }

    /** Reads a page of a listing; the store goes on changing between pages. */
    private void page(long sentAt, String since, List<Change> sofar, long first) {
        ask(
                () -> new Answer(
                        cluster.state.list(Keys.MIRRORED, since, SimulatedCluster.PAGE), cluster.state.ledger()),
                new Answer(null, 0),
                a -> {
                    if (a.changes() == null) {
                        listing = false;
                        return;
                    }
                    sofar.addAll(a.changes());
                    long ledger = first < 0 ? a.ledger() : first;
                    if (a.changes().size() == SimulatedCluster.PAGE) {
                        page(sentAt, sofar.get(sofar.size() - 1).key(), sofar, ledger);
                        return;
                    }
                    listing = false;
                    replica.reset(sofar, ledger);
                    if (replica.loaded()) {
                        holder.confirmed(sentAt);
                    }
                },
                () -> listing = false);
    }

    private void register() {
        NodeInfo me = replica.node(name);
        if (lease >= 0 && (me == null || me.incarnation() != lease)) {
            commit(
                    new Txn()
                            .guard(Keys.node(name), replica.stamp(Keys.node(name)))
                            .put(
                                    Keys.node(name),
                                    Records.node(new NodeInfo(
                                            name,
                                            lease,
                                            cluster.shape.params(name).zoneOfNode(name),
                                            layouts)),
                                    lease),
                    (r, l) -> {});
        } else if (lease >= 0) {
            holder.incarnate(lease);
            leader.incarnate(lease);
        }
    }

    private void commit(Txn txn, BiConsumer<TxnResult, Long> done) {
        if (!replica.loaded()) {
            done.accept(TxnResult.REFUSED, -1L);
            return;
        }
        replica.guardVersion(txn);
        cluster.decisions.onTransaction(cluster.now, name, txn);
        if (cluster.now < cluster.lateUntil && cluster.random.nextDouble() < cluster.lateShare) {
            int mine = life;
            cluster.at(
                    cluster.lateAtOnce ? 1 + cluster.random.nextInt(5) : 2000 + cluster.random.nextInt(10_000),
                    () -> cluster.met(
                            cluster.now >= cluster.outageUntil && cluster.commit(this, txn) == 200
                                    ? "carried out without an answer"
                                    : "late and overtaken"));
            after(2000, () -> {
                if (life == mine) {
                    done.accept(TxnResult.MAYBE, -1L);
                }
            });
            return;
        }
        ask(
                () -> {
                    int status = cluster.commit(this, txn);
                    TxnResult result = status == 200
                            ? TxnResult.OK
                            : status == 409
                                    ? TxnResult.CONFLICT
                                    : status == SimulatedCluster.TOO_MANY ? TxnResult.REFUSED : TxnResult.NO_LEASE;
                    return new Object[] {result, cluster.state.ledger()};
                },
                new Object[] {TxnResult.REFUSED, -1L},
                r -> done.accept((TxnResult) r[0], (Long) r[1]),
                () -> done.accept(TxnResult.MAYBE, -1L));
    }

    private void work() {
        if (!replica.loaded()) {
            return;
        }
        register();
        holder.tick(cluster.now);
        holder.drain().forEach(this::carryOut);
        if (lease < 0) {
            return;
        }
        if (!leader.leads(cluster.now)) {
            leadTerm = -1;
            Txn election = leader.election(cluster.now);
            if (election != null && cluster.random.nextInt(4) == 0) {
                commit(election, (r, l) -> {});
            }
            return;
        }
        if (leader.leadingTerm() != leadTerm) {
            leadTerm = leader.leadingTerm();
            pipeline.restart();
            peers(n -> n.holder.resynchronize(cluster.now));
        }
        if (cluster.fault == SimulatedCluster.Fault.FREE_UNSEEN && cluster.random.nextInt(50) == 0) {
            lie(List.copyOf(leader.machines()));
        }
        if (cluster.paced != null && pace.waitMs(cluster.now, 1) > 0) {
            return;
        }
        Txn txn = pipeline.next(() -> leader.plan(cluster.now));
        if (txn != null) {
            pace.force(cluster.now, txn.ops().size());
            commit(txn, (result, ledger) -> {
                pipeline.ended(result, ledger);
                pipeline.ready();
            });
        }
    }

    /** Tells the leader that what is placed on some machines is gone, without any proof. */
    private void lie(List<Observation> seen) {
        for (int i = 0; i < seen.size(); i += 20) {
            Observation o = seen.get(cluster.random.nextInt(seen.size()));
            List<Long> all = replica.placements(o.machine()).stream()
                    .map(Placement::attempt)
                    .toList();
            leader.onObservation(
                    cluster.now,
                    new Observation(
                            o.node(),
                            o.incarnation(),
                            o.block(),
                            o.term(),
                            o.machine(),
                            o.address(),
                            o.type(),
                            o.zone(),
                            o.spot(),
                            o.shift(),
                            o.noticeS(),
                            o.silent(),
                            o.tasks(),
                            all));
        }
    }

    void onReport(Report r, Consumer<BlockHolder.Reply> answer) {
        if (up && replica.loaded()) {
            BlockHolder.Reply reply = holder.onReport(cluster.now, r);
            cluster.decisions.onReply(cluster.now, name, r.machine(), reply);
            answer.accept(reply);
            if (reply instanceof BlockHolder.Reply.Answer a) {
                startsSent(r.machine(), a.orders());
            }
            holder.drain().forEach(this::carryOut);
        }
    }

    private void carryOut(BlockHolder.Effect e) {
        cluster.decisions.onEffect(cluster.now, name, e);
        LeaderInfo l = replica.leader();
        if (e instanceof BlockHolder.Effect.Command c) {
            command(c);
        } else if (e instanceof BlockHolder.Effect.Probe p) {
            WorkerModel w = cluster.worker(p.machine()).model;
            int mine = life;
            boolean[] over = new boolean[1];
            cluster.send(name, p.machine(), () -> {
                w.advance(cluster.now);
                Report r = w.report();
                cluster.send(p.machine(), name, () -> {
                    if (life == mine && !over[0]) {
                        over[0] = true;
                        holder.onProbeEnded();
                        holder.onProbeAnswer(cluster.now, r);
                    }
                });
            });
            after(2000, () -> {
                if (life == mine && !over[0]) {
                    over[0] = true;
                    holder.onProbeEnded();
                }
            });
        } else if (l != null) {
            SimulatedNode to = cluster.nodes.get(Integer.parseInt(l.node().substring(1)));
            Consumer<SimulatedNode> message = e instanceof BlockHolder.Effect.Tell t
                    ? n -> n.leader.onObservation(cluster.now, t.observation())
                    : n -> n.leader.onBids(cluster.now, ((BlockHolder.Effect.Offer) e).batch());
            if (to == this) {
                message.accept(this);
            } else {
                cluster.send(name, to.name, () -> {
                    if (to.up) {
                        message.accept(to);
                    }
                });
            }
        }
    }

    private void startsSent(String machine, List<WorkerCommand> orders) {
        orders.stream()
                .filter(WorkerCommand.Start.class::isInstance)
                .forEach(o -> cluster.onStartSent.accept(machine, o.task()));
    }

    private void command(BlockHolder.Effect.Command c) {
        startsSent(c.machine(), c.orders());
        WorkerModel w = cluster.worker(c.machine()).model;
        int mine = life;
        boolean[] over = new boolean[1];
        cluster.send(name, c.machine(), () -> {
            w.command(cluster.now, c.token(), c.shift(), c.orders());
            Report r = w.report();
            cluster.send(c.machine(), name, () -> {
                if (life == mine && !over[0]) {
                    over[0] = true;
                    holder.onCommandAnswer(cluster.now, c.machine(), c.token(), r);
                }
            });
        });
        after(4000, () -> {
            if (life == mine && !over[0]) {
                over[0] = true;
                holder.onCommandLost(cluster.now, c.machine(), c.token());
            }
        });
    }
}

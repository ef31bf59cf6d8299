package garnetscale.core.sim;

import garnetscale.core.Params;
import garnetscale.core.bid.Estimator;
import garnetscale.core.block.BlockHolder;
import garnetscale.core.block.Blocks;
import garnetscale.core.block.LeaderInfo;
import garnetscale.core.block.NodeInfo;
import garnetscale.core.block.Observation;
import garnetscale.core.job.JobRecord;
import garnetscale.core.job.JobSpec;
import garnetscale.core.job.JobState;
import garnetscale.core.job.Priority;
import garnetscale.core.job.TaskId;
import garnetscale.core.job.TestJob;
import garnetscale.core.lead.Leader;
import garnetscale.core.lead.Pipeline;
import garnetscale.core.machine.Address;
import garnetscale.core.machine.MachineType;
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
import garnetscale.core.upgrade.UpgradeDecision;
import garnetscale.core.upgrade.UpgradeStep;
import garnetscale.core.upgrade.VersionRange;
import garnetscale.net.Budget;
import garnetscale.standin.StateLimits;
import garnetscale.standin.StateModel;
import garnetscale.standin.WorkerModel;
import garnetscale.timeline.Timeline;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Controllers' cores, workers and a state service in one simulated time. Messages are delayed, lost, repeated and
 * held for minutes; nodes crash and come back; anything can be cut off. Everything follows from the seed.
 */
final class SimulatedCluster extends Timeline {

    static final MachineType TYPE = new MachineType("t", 8, 0, 32, 20, 1, 1, 0.5, 20, List.of("a", "b", "c"));
    static final long REPORT = 1000;
    static final long LEASE = 10_000;
    static final long CANCEL = 35_000;
    /** Small, so that a listing takes many requests. */
    private static final int PAGE = 15;
    /** The state service's answer to a change above its rate. */
    private static final int TOO_MANY = 429;
    /** The part of the rate that a leader uses. */
    private static final double LEADER_SHARE = 0.675;
    /** What the state service takes in one transaction, and in one value. */
    private static final int TXN_OPS = 24;

    private static final int TXN_BYTES = 64 * 1024;

    /** A deliberate mistake, to show that the rules are watched. */
    enum Fault {
        NONE,
        FREE_UNSEEN
    }

    final Rules rules;
    final StateModel state;
    final List<Node> nodes = new ArrayList<>();
    final List<Worker> workers = new ArrayList<>();
    /** Jobs that were submitted with a mistake: their tasks fail wherever they run. */
    final Set<String> broken = new HashSet<>();

    private final Map<String, Long> cutUntil = new HashMap<>();
    private final Map<String, Long> frozenUntil = new HashMap<>();
    private final Map<String, VersionRange> installed = new HashMap<>();
    private final Map<String, Worker> byId = new HashMap<>();
    private final Map<String, String> zones = new HashMap<>();
    private final StateReplica observer = new StateReplica();
    private final Map<String, Long> refusedUntil = new HashMap<>();
    private final List<Report> kept = new ArrayList<>();
    private final Map<String, Long> blockTerms = new HashMap<>();
    private final Map<String, Long> blockMovedAt = new HashMap<>();
    private final Fault fault;
    final ClusterShape shape;
    long outageUntil;
    long copiesUntil;
    double loss = 0.002;
    /** Besides following by short requests, nodes watch by ones that hang open, also through a refusal. */
    boolean watches;
    /** Told of each start that a holder sends, with its machine. */
    BiConsumer<String, TaskId> onStartSent = (machine, task) -> {};
    /** Share of cancellations of which the peers aren't told: their links are down just then. */
    double wordLoss;
    /** The changes a second that the state service takes, and what was refused beyond it; unbounded unless set. */
    private Budget writes = new Budget(Double.MAX_VALUE, Double.MAX_VALUE, 0);

    private Params paced;
    int refusedWrites;
    /** Until then reports are kept, and so long after a new leader's beginning their copies reach every controller. */
    long keepUntil;

    long keptDelay;
    private long ledTerm;
    /** Until then this share of transactions gets no answer: carried out at once, or 2 to 12 s late. */
    long lateUntil;

    double lateShare;
    boolean lateAtOnce;
    /** Until then an answer of the state service takes so much longer. */
    long slowUntil;

    int slowMs;
    /** Until then these machines reach no controller, while direct requests reach them. */
    private final Map<String, Long> muteUntil = new HashMap<>();

    SimulatedCluster(long seed, Fault fault, ClusterShape shape) {
        super(seed);
        this.fault = fault;
        this.shape = shape;
        this.state = new StateModel(new StateLimits(shape.valueBytes(), TXN_OPS, TXN_BYTES));
        this.rules = new Rules(Map.of("red", shape.red(), "blue", shape.blue()), zones, CANCEL, () -> now);
        state.commit(new Txn().put(Keys.TYPES, Records.types(List.of(TYPE))));
        observer.reset(state.list(Keys.MIRRORED, null, 10), state.ledger());
        rules.placed =
                (machine, attempt) -> stored().placements(machine).stream().anyMatch(p -> p.attempt() == attempt);
        for (int i = 0; i < shape.nodes(); i++) {
            nodes.add(new Node("n" + i));
        }
        for (int i = 0; i < shape.workers(); i++) {
            bring(i);
        }
        every(250, this::sweep);
    }

    /** From now on the state service refuses more changes a second than the settings say, and leaders pace themselves. */
    void limitWrites() {
        paced = shape.params("n0");
        writes = new Budget(paced.stateWritesPerS(), paced.stateWritesPerS(), now);
    }

    /** What a node's process supports from its next start on. */
    void install(String node, VersionRange layouts) {
        installed.put(node, layouts);
    }

    /** Has an operator ask whichever node believes that it leads. */
    UpgradeDecision upgrade(UpgradeStep step) {
        Node node =
                nodes.stream().filter(n -> n.name.equals(leader())).findFirst().orElseThrow();
        return node.up ? node.leader.upgrade(now, step) : new UpgradeDecision.Refused("it is down");
    }

    private int commit(Node by, Txn txn) {
        int active = stored().version().active();
        int status = commit(txn);
        if (status == 200 && !txn.ops().isEmpty() && !by.layouts.contains(active)) {
            rules.broken.add(now + " wrote outside its versions: " + by.name + " supports " + by.layouts + ", " + active
                    + " was active");
        }
        int next = stored().version().active();
        if (next > active) {
            stored().nodes().stream()
                    .filter(node -> !node.layouts().contains(next))
                    .forEach(node -> rules.broken.add(now + " activated " + next + " over " + node));
        }
        return status;
    }

    private int commit(Txn txn) {
        if (!writes.take(now, txn.ops().size())) {
            refusedWrites++;
            return TOO_MANY;
        }
        return state.commit(txn);
    }

    /** A machine is up from now on. */
    Worker bring(int i) {
        String id = String.format(Locale.ROOT, "m-%06d", i);
        zones.put(id, shape.zone(i));
        Worker w = new Worker(id, shape.zone(i));
        workers.add(w);
        byId.put(w.id, w);
        return w;
    }

    /** What is stored at this moment. */
    StateReplica stored() {
        observer.advance(state.changes(Keys.MIRRORED, observer.ledger()), state.ledger());
        return observer;
    }

    // ---- time

    private void sweep() {
        if (now >= outageUntil) {
            state.expire(now);
        }
        for (Worker w : workers) {
            if (isFrozen(w.id)) {
                // PROTOCOL: a machine that hangs may go on within its lease, and not after it.
                w.model.lapse(now);
            } else {
                w.model.advance(now);
            }
        }
        rules.check();
        StateReplica m = stored();
        if (m.leader() != null && m.leader().term() != ledTerm) {
            ledTerm = m.leader().term();
            met("leader changed");
            deliverKept();
        }
        for (String block : new Blocks(shape.params("n0")).all()) {
            long term = m.block(block) == null ? 0 : m.block(block).term();
            Long before = blockTerms.put(block, term);
            if (before != null && before != term) {
                blockMovedAt.put(block, now);
            }
        }
    }

    /** Old reports reach every controller, and nobody reads the answers. */
    private void deliverKept() {
        for (Report r : kept) {
            for (Node n : nodes) {
                at(keptDelay + random.nextInt(400), () -> {
                    met("old report at a new leader");
                    n.onReport(r, reply -> {});
                });
            }
        }
        kept.clear();
    }

    // ---- network

    void cut(String who, long ms) {
        cutUntil.put(who, now + ms);
    }

    /** The node loses the state service and the other nodes, both ways, and keeps its workers. */
    void cutFromAllButWorkers(String node, long ms) {
        cut(node + ">state", ms);
        cut("state>" + node, ms);
        for (Node other : nodes) {
            cut(node + ">" + other.name, ms);
            cut(other.name + ">" + node, ms);
        }
    }

    /** A zone with its workers and controllers is cut off from everything else. */
    void cutZone(String zone, long ms) {
        List<String> inside = new ArrayList<>();
        List<String> outside = new ArrayList<>(List.of("state"));
        workers.forEach(w -> (zones.get(w.id).equals(zone) ? inside : outside).add(w.id));
        nodes.forEach(n -> (shape.params(n.name).zoneOfNode(n.name).equals(zone) ? inside : outside).add(n.name));
        for (String a : inside) {
            for (String b : outside) {
                cut(a + ">" + b, ms);
                cut(b + ">" + a, ms);
            }
        }
    }

    /** Reports of the machine arrive; answers and direct requests to it are lost. */
    void deafen(String worker, long ms) {
        nodes.forEach(n -> cut(n.name + ">" + worker, ms));
    }

    /** The node loses the other nodes, both ways, and nothing else. */
    void cutFromPeers(String node, long ms) {
        for (Node other : nodes) {
            if (!other.name.equals(node)) {
                cut(node + ">" + other.name, ms);
                cut(other.name + ">" + node, ms);
            }
        }
    }

    void crash(String node, int downMs) {
        nodes.stream().filter(n -> n.name.equals(node) && n.up).findFirst().ifPresent(n -> n.crash(downMs));
    }

    /** This share of transactions gets no answer: they are carried out at once, or 2 to 12 s late. */
    void late(long ms, double share, boolean atOnce) {
        lateUntil = now + ms;
        lateShare = share;
        lateAtOnce = atOnce;
    }

    String zoneOf(String worker) {
        return zones.get(worker);
    }

    long leaderTerm() {
        return stored().leader() == null ? -1 : stored().leader().term();
    }

    /** The node that a machine reports to at the moment. */
    String reportsTo(String worker) {
        return nodes.get(byId.get(worker).target % nodes.size()).name;
    }

    void mute(String worker, long ms) {
        muteUntil.put(worker, now + ms);
    }

    /** The state service refuses this node alone. */
    void refuse(String node, long ms) {
        refusedUntil.put(node, now + ms);
    }

    boolean refuses(String node) {
        return now < outageUntil || now < refusedUntil.getOrDefault(node, 0L);
    }

    void outage(long ms) {
        outageUntil = now + ms;
        at(ms, () -> state.refreshLeases(now));
    }

    /** The machine stands still, and goes on where it was. */
    void hang(String worker, long ms) {
        if (!isFrozen(worker)) {
            byId.get(worker).model.advance(now);
            freeze(worker, ms);
            at(ms, () -> byId.get(worker).model.goOn(now, ms));
        }
    }

    private boolean isFrozen(String who) {
        return now < frozenUntil.getOrDefault(who, 0L);
    }

    /** The node that holds a machine's block by what is stored. */
    String holderOf(String worker) {
        Blocks b = new Blocks(shape.params("n0"));
        var lease = stored().block(b.blockOf(worker, zones.get(worker)));
        return lease == null ? "" : lease.holder();
    }

    /** How long ago a machine's block last got a new term. */
    long sinceMoved(String worker) {
        return now
                - blockMovedAt.getOrDefault(
                        new Blocks(shape.params("n0")).blockOf(worker, zones.get(worker)), Long.MIN_VALUE / 2);
    }

    /** A node that believes that it leads, or any when none does. */
    String leader() {
        return nodes.stream()
                .filter(n -> n.up && n.leader.leadingTerm() >= 0)
                .findFirst()
                .orElse(nodes.get(0))
                .name;
    }

    /** The node stands still while time goes on: what comes waits for it, and its timers fire afterwards. */
    void freeze(String node, long ms) {
        frozenUntil.put(node, now + ms);
    }

    private void thawed(String who, Runnable run) {
        long left = frozenUntil.getOrDefault(who, 0L) - now;
        if (left > 0) {
            at(left + random.nextInt(20), run);
        } else {
            run.run();
        }
    }

    private boolean isCut(String a, String b) {
        return now < cutUntil.getOrDefault(a, 0L)
                || now < cutUntil.getOrDefault(b, 0L)
                || now < cutUntil.getOrDefault(a + ">" + b, 0L);
    }

    /**
     * Sends a message one way. During a cut it is held and delivered after it; now and then one is lost, or comes
     * twice, the second time much later.
     */
    void send(String from, String to, Runnable receive) {
        Runnable deliver = () -> thawed(to, receive);
        long delay = 1 + random.nextInt(random.nextInt(20) == 0 ? 300 : 6);
        if (isCut(from, to)) {
            if (random.nextBoolean()) {
                long end = Math.max(
                        cutUntil.getOrDefault(from, 0L),
                        Math.max(cutUntil.getOrDefault(to, 0L), cutUntil.getOrDefault(from + ">" + to, 0L)));
                at(end - now + delay, deliver);
            }
            return;
        }
        if (random.nextDouble() < loss) {
            return;
        }
        at(delay, deliver);
        if (random.nextInt(200) == 0) {
            at(delay + random.nextInt(60_000), deliver);
        }
    }

    // ---- users

    void submit(String id, String team, int tasks, double cpus, double seconds) {
        submit(id, team, Priority.NORMAL, tasks, cpus, seconds, false);
    }

    void submit(String id, String team, Priority priority, int tasks, double cpus, double seconds, boolean oneZone) {
        JobSpec job = TestJob.named(id)
                .team(team)
                .priority(priority)
                .tasks(tasks)
                .cpus(cpus)
                .oneZone(oneZone)
                .imageGb(0.5)
                .estimateS(seconds)
                .build();
        rules.jobs.put(id, job);
        state.commit(new Txn()
                .guard(Keys.job(id), 0)
                .put(Keys.job(id), Records.job(new JobRecord(job, JobState.LIVE, now))));
        rules.told(id, "LIVE");
    }

    void cancel(String id) {
        StateModel.Entry e = state.get(Keys.job(id));
        if (e == null || now < outageUntil) {
            return;
        }
        JobRecord r = Records.job(id, e.value());
        state.commit(new Txn()
                .guard(Keys.job(id), e.stamp())
                .put(Keys.job(id), Records.job(r.withState(JobState.CANCELLED))));
        rules.told(id, "CANCELLED");
    }

    /** A user cancels at a node, which tells its peers as soon as it is stored. */
    boolean cancelAt(String node, String id) {
        if (refuses(node) || state.get(Keys.job(id)) == null) {
            return false;
        }
        cancel(id);
        if (random.nextDouble() >= wordLoss) {
            nodes.stream()
                    .filter(n -> n.name.equals(node) && n.up)
                    .forEach(n -> n.peers(p -> p.holder.onCancelled(id)));
        }
        return true;
    }

    /** What users would be told now; true when the job is over. */
    boolean poll(String id) {
        StateModel.Entry over = state.get(Keys.archived(id));
        if (over != null) {
            rules.told(id, Records.archived(over.value()).state().name());
            return true;
        }
        StateModel.Entry e = state.get(Keys.job(id));
        if (e == null) {
            rules.broken.add(now + " forgotten: " + id);
            return true;
        }
        rules.told(id, Records.job(id, e.value()).state().name());
        return false;
    }

    // ---- workers

    final class Worker {

        final WorkerModel model;
        final String id;
        private int target;
        private long generation;

        Worker(String id, String zone) {
            this.id = id;
            this.model = new WorkerModel(id, id, TYPE, zone, LEASE, 0, rules.jobs::get, rules);
            model.fail(t -> broken.contains(t.job()));
            at(random.nextInt(1000), this::report);
        }

        /** One report in flight at a time; its answer counts for four seconds. */
        private void report() {
            if (isFrozen(id)) {
                thawed(id, this::report);
                return;
            }
            model.advance(now);
            Report r = model.report();
            long mine = ++generation;
            long sentAt = now;
            Node node = nodes.get(target % nodes.size());
            if (now < copiesUntil && random.nextInt(3) == 0) {
                // A copy of the report comes late, to any node, and nobody reads its answer.
                Node other = nodes.get(random.nextInt(nodes.size()));
                at(1000 + random.nextInt(4 * (int) LEASE), () -> other.onReport(r, reply -> {}));
            }
            if (now < keepUntil && kept.size() < 200) {
                kept.add(r);
            }
            if (now < muteUntil.getOrDefault(id, 0L)) {
                met("a machine that reaches no controller");
                next(1000);
                return;
            }
            send(
                    id,
                    node.name,
                    () -> node.onReport(
                            r,
                            reply -> send(node.name, id, () -> {
                                if (mine == generation && !isFrozen(id)) {
                                    generation++;
                                    answered(r, sentAt, reply);
                                }
                            })));
            at(4000, () -> {
                if (mine == generation) {
                    generation++;
                    next(1000);
                }
            });
        }

        private void answered(Report r, long sentAt, BlockHolder.Reply reply) {
            if (reply instanceof BlockHolder.Reply.Answer a) {
                model.answered(now, sentAt, r.shift(), a.token(), a.orders());
                at(REPORT * 3 / 4 + random.nextInt((int) REPORT / 2), this::report);
            } else if (reply instanceof BlockHolder.Reply.Redirect to && to.node() != null) {
                target = Integer.parseInt(to.node().substring(1));
                at(random.nextInt(500), this::report);
            } else {
                next(1000);
            }
        }

        private void next(long pause) {
            target++;
            at(pause, this::report);
        }
    }

    // ---- controllers

    final class Node {

        final String name;
        private StateReplica replica;
        private BlockHolder holder;
        private Leader leader;
        private Pipeline pipeline;
        private long lease;
        private boolean listing;
        private long leadTerm;
        /** Of this process; what was meant for an earlier one is dropped. */
        private int life;

        private boolean up;
        /** What this process supports. */
        private VersionRange layouts;
        /** A leader's part of the changes a second. */
        private Budget pace;

        Node(String name) {
            this.name = name;
            start();
        }

        private void start() {
            life++;
            up = true;
            layouts = installed.getOrDefault(name, Layouts.SUPPORTED);
            replica = new StateReplica(layouts);
            Params p = shape.params(name, layouts);
            Blocks blocks = new Blocks(p);
            holder = new BlockHolder(p, replica, blocks, new Estimator(REPORT));
            leader = new Leader(p, replica, blocks, s -> {});
            pipeline = new Pipeline(replica, leader);
            double leaderWrites = LEADER_SHARE * p.stateWritesPerS();
            pace = new Budget(leaderWrites, leaderWrites, now);
            lease = -1;
            leadTerm = -1;
            listing = false;
            int mine = life;
            loop(mine, 20 + random.nextInt(30), this::work);
            loop(mine, 400, this::renew);
            loop(mine, 60, this::follow);
            loop(mine, 3100, this::watch);
            loop(mine, 1000, () -> peers(n -> n.leader.hears(name, holder.deaf())));
            loop(mine, 1000, () -> {
                if (leader.leadingTerm() >= 0) {
                    List<Address> book = workers.stream()
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
            at(ms, () -> thawed(name, run));
        }

        void crash(long downMs) {
            frozenUntil.remove(name);
            up = false;
            life++;
            at(downMs, this::start);
        }

        private void peers(Consumer<Node> message) {
            for (Node n : nodes) {
                if (n == this) {
                    message.accept(n);
                } else {
                    send(name, n.name, () -> {
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
            send(name, "state", () -> {
                T result = refuses(name) ? refused : request.get();
                Runnable back = () -> send("state", name, () -> {
                    if (life == mine && !over[0]) {
                        over[0] = true;
                        answer.accept(result);
                    }
                });
                if (now < slowUntil) {
                    at(random.nextInt(slowMs), back);
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
            if (!watches || !replica.loaded() || listing) {
                return;
            }
            int mine = life;
            long sentAt = now;
            long since = replica.ledger();
            send(
                    name,
                    "state",
                    () -> hangOpen(
                            since,
                            now + 3000,
                            a -> send("state", name, () -> {
                                if (life == mine && !listing) {
                                    replica.advance(a.changes(), a.ledger());
                                    if (!replica.torn()) {
                                        holder.confirmed(sentAt);
                                    }
                                }
                            })));
        }

        private void hangOpen(long since, long until, Consumer<Answer> answer) {
            List<Change> changes = refuses(name) ? List.of() : state.changes(Keys.MIRRORED, since);
            if (refuses(name) || changes.isEmpty() && now < until) {
                if (refuses(name)) {
                    met("a watch hung open through a refusal");
                }
                at(40, () -> hangOpen(since, until, answer));
            } else {
                answer.accept(new Answer(changes, state.ledger()));
            }
        }

        private void renew() {
            if (replica.unreadable() != null) {
                met("stood aside");
                return;
            }
            if (lease < 0) {
                ask(
                        () -> state.grant(now, 1500),
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
                    () -> state.touch(now, mine) ? 1 : 0,
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
                page(now, null, new ArrayList<>(), -1);
                return;
            }
            long sentAt = now;
            long since = replica.ledger();
            ask(
                    () -> new Answer(state.changes(Keys.MIRRORED, since), state.ledger()),
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
                    () -> new Answer(state.list(Keys.MIRRORED, since, PAGE), state.ledger()),
                    new Answer(null, 0),
                    a -> {
                        if (a.changes() == null) {
                            listing = false;
                            return;
                        }
                        sofar.addAll(a.changes());
                        long ledger = first < 0 ? a.ledger() : first;
                        if (a.changes().size() == PAGE) {
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
                                                name, lease, shape.params(name).zoneOfNode(name), layouts)),
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
            if (now < lateUntil && random.nextDouble() < lateShare) {
                int mine = life;
                at(
                        lateAtOnce ? 1 + random.nextInt(5) : 2000 + random.nextInt(10_000),
                        () -> met(
                                now >= outageUntil && SimulatedCluster.this.commit(this, txn) == 200
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
                        int status = SimulatedCluster.this.commit(this, txn);
                        TxnResult result = status == 200
                                ? TxnResult.OK
                                : status == 409
                                        ? TxnResult.CONFLICT
                                        : status == TOO_MANY ? TxnResult.REFUSED : TxnResult.NO_LEASE;
                        return new Object[] {result, state.ledger()};
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
            holder.tick(now);
            holder.drain().forEach(this::carryOut);
            if (lease < 0) {
                return;
            }
            if (!leader.leads(now)) {
                leadTerm = -1;
                Txn election = leader.election(now);
                if (election != null && random.nextInt(4) == 0) {
                    commit(election, (r, l) -> {});
                }
                return;
            }
            if (leader.leadingTerm() != leadTerm) {
                leadTerm = leader.leadingTerm();
                pipeline.restart();
                peers(n -> n.holder.resynchronize(now));
            }
            if (fault == Fault.FREE_UNSEEN && random.nextInt(50) == 0) {
                lie(List.copyOf(leader.machines()));
            }
            if (paced != null && pace.waitMs(now, 1) > 0) {
                return;
            }
            Txn txn = pipeline.next(() -> leader.plan(now));
            if (txn != null) {
                pace.force(now, txn.ops().size());
                commit(txn, (result, ledger) -> {
                    pipeline.ended(result, ledger);
                    pipeline.ready();
                });
            }
        }

        /** Tells the leader that what is placed on some machines is gone, without any proof. */
        private void lie(List<Observation> seen) {
            for (int i = 0; i < seen.size(); i += 20) {
                Observation o = seen.get(random.nextInt(seen.size()));
                List<Long> all = replica.placements(o.machine()).stream()
                        .map(Placement::attempt)
                        .toList();
                leader.onObservation(
                        now,
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
                BlockHolder.Reply reply = holder.onReport(now, r);
                answer.accept(reply);
                if (reply instanceof BlockHolder.Reply.Answer a) {
                    startsSent(r.machine(), a.orders());
                }
                holder.drain().forEach(this::carryOut);
            }
        }

        private void carryOut(BlockHolder.Effect e) {
            LeaderInfo l = replica.leader();
            if (e instanceof BlockHolder.Effect.Command c) {
                command(c);
            } else if (e instanceof BlockHolder.Effect.Probe p) {
                WorkerModel w = worker(p.machine()).model;
                int mine = life;
                boolean[] over = new boolean[1];
                send(name, p.machine(), () -> {
                    w.advance(now);
                    Report r = w.report();
                    send(p.machine(), name, () -> {
                        if (life == mine && !over[0]) {
                            over[0] = true;
                            holder.onProbeEnded();
                            holder.onProbeAnswer(now, r);
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
                Node to = nodes.get(Integer.parseInt(l.node().substring(1)));
                Consumer<Node> message = e instanceof BlockHolder.Effect.Tell t
                        ? n -> n.leader.onObservation(now, t.observation())
                        : n -> n.leader.onBids(now, ((BlockHolder.Effect.Offer) e).batch());
                if (to == this) {
                    message.accept(this);
                } else {
                    send(name, to.name, () -> {
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
                    .forEach(o -> onStartSent.accept(machine, o.task()));
        }

        private void command(BlockHolder.Effect.Command c) {
            startsSent(c.machine(), c.orders());
            WorkerModel w = worker(c.machine()).model;
            int mine = life;
            boolean[] over = new boolean[1];
            send(name, c.machine(), () -> {
                w.command(now, c.token(), c.shift(), c.orders());
                Report r = w.report();
                send(c.machine(), name, () -> {
                    if (life == mine && !over[0]) {
                        over[0] = true;
                        holder.onCommandAnswer(now, c.machine(), c.token(), r);
                    }
                });
            });
            after(4000, () -> {
                if (life == mine && !over[0]) {
                    over[0] = true;
                    holder.onCommandLost(now, c.machine(), c.token());
                }
            });
        }
    }

    Worker worker(String id) {
        return byId.get(id);
    }
}

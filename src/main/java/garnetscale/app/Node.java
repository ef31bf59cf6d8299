package garnetscale.app;

import garnetscale.core.Params;
import garnetscale.core.bid.Estimator;
import garnetscale.core.block.BlockHolder;
import garnetscale.core.block.Blocks;
import garnetscale.core.block.LeaderInfo;
import garnetscale.core.fleet.CloudCall;
import garnetscale.core.fleet.Fleet;
import garnetscale.core.lead.Leader;
import garnetscale.core.lead.Pipeline;
import garnetscale.core.machine.MachineType;
import garnetscale.core.machine.Report;
import garnetscale.core.store.JobView;
import garnetscale.core.store.Keys;
import garnetscale.core.store.Records;
import garnetscale.core.store.StateReplica;
import garnetscale.core.store.Txn;
import garnetscale.core.store.TxnResult;
import garnetscale.net.HttpClient;
import garnetscale.net.HttpResult;
import garnetscale.net.HttpServer;
import garnetscale.net.PeerLinks;
import garnetscale.net.Reply;
import garnetscale.net.Sockets;
import garnetscale.peer.PeerMessage;
import garnetscale.wire.WorkerCodec;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One controller process: the roles of the core, wired to sockets and timers. All of it runs on one event loop;
 * the core's objects are touched by nothing else.
 */
final class Node implements StateLink.Listener {

    private static final Logger LOG = LoggerFactory.getLogger(Node.class);
    private static final long TICK_MS = 250;
    private static final long HEARTBEAT_MS = 1000;
    private static final long TURNS_MS = 60_000;
    private static final long OPEN_AGAIN_MS = 1000;
    /** A node whose turns come later than this part of a report's interval lags. */
    private static final long LAGS_IN_REPORT = 50;
    /**
     * What happens within a 300th of a report's interval is worked on together, and a draft follows another after an 80th at
     * the soonest: news comes by reports, and the more machines there are the more each turn and draft goes over.
     */
    private static final long TURNS_IN_REPORT = 300;

    private static final long DRAFTS_IN_REPORT = 80;
    private static final long LEAST_TURN_MS = 4;
    /** What the fleet lacks is worked out no more often than this while there is nothing to ask of the cloud. */
    private static final long FLEET_MS = 2 * TICK_MS;
    /** Drafts in a window; each goes through all that waits. */
    private static final int PLANS_IN_WINDOW = 10;
    /** After a draft that held nothing the next one waits this many times as long: batches rarely come alone. */
    private static final long FRUITLESS = 3;
    /** The pause after a turn, in multiples of what it took. */
    private static final long REST = 3;
    /** The pause after working out what the fleet lacks, likewise. */
    private static final long FLEET_REST = 200;

    private record Peer(PeerMessage.Heartbeat last, long at) {}

    private final Params params;
    private final EventLoopProfile profile = new EventLoopProfile();
    private final long turnMs;
    private final Settings settings;
    private final EventLoopGroup loop;
    private final StateReplica replica;
    private final BlockHolder holder;
    private final Leader leader;
    private final Pipeline pipeline;
    private final Fleet fleet;
    private final StateLink state;
    private final CloudLink cloud;
    private final JobApi front;
    private final PeerLinks peers;
    private final HttpClient workers;
    private final HttpServer server;
    private final Map<String, Peer> heard = new HashMap<>();
    private long beatAt;
    private boolean deaf;
    private boolean opened;
    private boolean workQueued;
    private boolean electing;
    private long ledTerm = -1;
    private long wakeAt = -1;
    private long restUntil;
    private long fleetAt = Long.MIN_VALUE / 2;
    private long plannedAt = Long.MIN_VALUE / 2;
    private boolean fruitless;
    private List<MachineType> types = List.of();
    private long lease = -1;
    private PeerMessage.Book lastBook;

    Node(Settings settings) {
        this.settings = settings;
        this.params = settings.params();
        this.turnMs = Math.max(LEAST_TURN_MS, params.reportMs() / TURNS_IN_REPORT);
        this.loop = new NioEventLoopGroup(1, new DefaultThreadFactory("loop"));
        this.replica = new StateReplica(params.features().layouts());
        Blocks blocks = new Blocks(params);
        this.holder = new BlockHolder(params, replica, blocks, new Estimator(params.reportMs()));
        this.leader = new Leader(params, replica, blocks, LOG::info);
        this.pipeline = new Pipeline(replica, leader);
        this.fleet = new Fleet(params, replica, LOG::info);
        this.state = new StateLink(params, stateIo(), new SplittableRandom(), replica, this);
        this.cloud = new CloudLink(
                params,
                new HttpClient(loop, 1, 1000),
                settings.cloud(),
                fleet,
                this::onTypes,
                this::onDead,
                this::onListed);
        this.front = new JobApi(params, replica, state, this::why, this::onCancelled);
        ClusterInspector inspector = new ClusterInspector(
                params,
                blocks,
                new ClusterInspector.Sources(replica, leader, Node::now, this::process, this::why, front::ended));
        this.peers = new PeerLinks(loop, this::onPeer, inspector, this::onLink, this::onRefused);
        Sockets sockets = new Sockets(params.maxConnections(), params.features().sharedSocketsFrom());
        this.workers = new HttpClient(loop, 1, sockets, 1000);
        this.server = new HttpServer(loop, sockets, params.maxConnections(), this::onRequest);
    }

    static long now() {
        return System.nanoTime() / 1_000_000;
    }

    private StateLink.Io stateIo() {
        HttpClient http = new HttpClient(loop, 6, 1000);
        return new StateLink.Io() {
            @Override
            public long now() {
                return Node.now();
            }

            @Override
            public void after(long ms, Runnable run) {
                loop.next().schedule(run, ms, TimeUnit.MILLISECONDS);
            }

            @Override
            public void call(HttpMethod method, String path, byte[] body, long timeoutMs, Consumer<HttpResult> done) {
                http.call(
                        settings.state(),
                        method,
                        path,
                        body,
                        timeoutMs,
                        r -> profile.run(EventLoopProfile.Role.STATE, () -> done.accept(r)));
            }
        };
    }

    /**
     * Starts; throws when an address is in use. Users and workers are let in by {@link #open} only: before the replica is
     * complete there is nothing to tell them, and after the end of all controllers every worker asks once a second.
     */
    void start() throws IOException {
        requireFree(settings.listen());
        await(peers.listen(settings.back()), settings.back());
        loop.next().execute(() -> {
            state.start();
            for (Params.Member m : params.members()) {
                if (!m.name().equals(params.self())) {
                    peers.connect(m.name(), m.address());
                }
            }
            beatAt = now();
            // With a fixed delay: after a standstill a fixed rate would make up for every beat that it missed.
            loop.next().scheduleWithFixedDelay(this::work, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
            loop.next().scheduleWithFixedDelay(this::beat, HEARTBEAT_MS, HEARTBEAT_MS, TimeUnit.MILLISECONDS);
            loop.next()
                    .scheduleWithFixedDelay(
                            () -> LOG.info("turns: {}", profile.take()), TURNS_MS, TURNS_MS, TimeUnit.MILLISECONDS);
        });
    }

    /** Opens and closes the address for users and workers, so that one in use is known at once. */
    private static void requireFree(String address) throws IOException {
        try (ServerSocketChannel probe = ServerSocketChannel.open()) {
            probe.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            probe.bind(HttpClient.address(address));
        } catch (IOException e) {
            throw new IOException("can't listen on " + address + ": " + e.getMessage(), e);
        }
    }

    /** Lets users and workers in; tried again where the address was taken meanwhile. */
    private void open() {
        server.listen(settings.listen()).addListener((ChannelFutureListener) listening -> {
            if (!listening.isSuccess()) {
                LOG.error(
                        "can't listen on {}: {}",
                        settings.listen(),
                        listening.cause().getMessage());
                loop.next().schedule(this::open, OPEN_AGAIN_MS, TimeUnit.MILLISECONDS);
            }
        });
    }

    private void await(ChannelFuture listening, String address) throws IOException {
        if (!listening.awaitUninterruptibly().isSuccess()) {
            stop();
            throw new IOException(
                    "can't listen on " + address + ": " + listening.cause().getMessage());
        }
    }

    /** Ends all that the node does; the future tells when it has. */
    Future<?> stop() {
        loop.next().execute(state::stop);
        return loop.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    // ---- requests

    private void onRequest(String method, String path, byte[] body, Consumer<Reply> answer) {
        profile.run(
                path.equals("/hello") ? EventLoopProfile.Role.REPORTS : EventLoopProfile.Role.USERS,
                () -> serve(method, path, body, answer));
    }

    private void serve(String method, String path, byte[] body, Consumer<Reply> answer) {
        try {
            if (path.equals("/hello")) {
                answer.accept(method.equals("POST") ? onReport(body) : Reply.of(405));
            } else if (path.equals("/ready")) {
                answer.accept(Reply.of(!method.equals("GET") ? 405 : ready() ? 200 : 503));
            } else if (path.equals("/v2/runs") || path.startsWith("/v2/runs/")) {
                front.handle(method, path, body, answer);
            } else {
                answer.accept(Reply.of(404));
            }
        } catch (RuntimeException e) {
            LOG.error("request {} {} failed", method, path, e);
            answer.accept(new Reply(503, new byte[0], 1));
        }
    }

    /**
     * A node takes requests when it knows the types and reaches the state service. In an outage for all, going
     * out of service would only delay the return, so it stays in unless a peer does better.
     */
    private boolean ready() {
        if (!replica.loaded() || replica.types().isEmpty()) {
            return false;
        }
        return state.ageMs() < 3 * StateLink.CONFIRM_MS || !peerReachesState();
    }

    private boolean peerReachesState() {
        for (Peer p : heard.values()) {
            if (now() - p.at() < 3 * HEARTBEAT_MS && p.last().stateAgeMs() < 3 * StateLink.CONFIRM_MS) {
                return true;
            }
        }
        return false;
    }

    private Reply onReport(byte[] body) {
        Report report;
        try {
            report = WorkerCodec.report(body);
        } catch (IOException | RuntimeException e) {
            LOG.info("malformed report: {}", e.getMessage());
            return Reply.of(400);
        }
        if (!replica.loaded()) {
            return Reply.of(503);
        }
        BlockHolder.Reply r = holder.onReport(now(), report);
        queueWork();
        if (r instanceof BlockHolder.Reply.Answer a) {
            if (!a.orders().isEmpty()) {
                LOG.debug("machine {} told {} under token {}", report.machine(), a.orders(), a.token());
            }
            return Reply.of(200, WorkerCodec.answer(a.token(), a.orders()));
        }
        if (r instanceof BlockHolder.Reply.Redirect to) {
            return Reply.of(421, WorkerCodec.redirect(to.node()));
        }
        LOG.debug("report of {} refused: {}", report.machine(), ((BlockHolder.Reply.Refuse) r).why());
        return Reply.of(503);
    }

    // ---- state service

    @Override
    public void advanced() {
        if (!opened) {
            opened = true;
            open();
        }
        queueWork();
    }

    @Override
    public void confirmed(long sentAt) {
        holder.confirmed(sentAt);
    }

    @Override
    public void leased(long newLease) {
        lease = newLease;
        holder.incarnate(newLease);
        leader.incarnate(newLease);
        queueWork();
    }

    // ---- peers

    private void onRefused(String node) {
        leader.suspect(now(), node, true);
        queueWork();
    }

    private void onLink(String node) {
        leader.suspect(now(), node, false);
        if (leader.leadingTerm() >= 0) {
            peers.send(node, book());
        }
        peers.send(node, heartbeat());
        LeaderInfo l = replica.leader();
        if (l != null && l.node().equals(node)) {
            holder.resynchronize(now());
            queueWork();
        }
    }

    private PeerMessage.Heartbeat heartbeat() {
        return new PeerMessage.Heartbeat(params.self(), lease, leader.leadingTerm(), state.ageMs(), holder.deaf());
    }

    private void beat() {
        long now = now();
        if (now - beatAt > 2 * HEARTBEAT_MS) {
            // It is this process that stood still: its peers' signs of life are still to be read.
            LOG.info("this process stood still for {} ms", now - beatAt - HEARTBEAT_MS);
            heard.replaceAll((node, peer) -> new Peer(peer.last(), now));
        }
        beatAt = now;
        heard.forEach((node, peer) -> {
            if (now() - peer.at() > 4 * HEARTBEAT_MS) {
                leader.suspect(now(), node, true);
            }
        });
        peers.sendAll(heartbeat());
    }

    private void onPeer(PeerMessage m) {
        profile.run(EventLoopProfile.Role.PEERS, () -> hear(m));
    }

    private void hear(PeerMessage m) {
        if (m instanceof PeerMessage.Heartbeat h) {
            Peer before = heard.put(h.node(), new Peer(h, now()));
            if (before == null || now() - before.at() < 2 * HEARTBEAT_MS) {
                leader.suspect(now(), h.node(), false);
            }
            leader.hears(now(), h.node(), h.deaf());
            if (h.leaderTerm() >= 0 && (before == null || before.last().leaderTerm() != h.leaderTerm())) {
                holder.resynchronize(now());
                queueWork();
            }
        } else if (m instanceof PeerMessage.Cancelled c) {
            holder.onCancelled(c.job());
            queueWork();
        } else if (m instanceof PeerMessage.Over o) {
            front.over(o.job(), o.how());
        } else if (m instanceof PeerMessage.Book b) {
            holder.onBook(b.machines(), b.lateJobs(), b.suspects());
            queueWork();
        } else if (m instanceof PeerMessage.Seen s) {
            leader.onObservation(now(), s.observation());
            queueWork();
        } else if (m instanceof PeerMessage.Bids b) {
            leader.onBids(now(), b.batch());
            queueWork();
        }
    }

    // ---- work

    private void queueWork() {
        if (!workQueued) {
            workQueued = true;
            long delay = Math.max(turnMs, restUntil - now());
            long due = now() + delay;
            loop.next()
                    .schedule(
                            () -> {
                                workQueued = false;
                                holder.lagging(now() - due > params.reportMs() / LAGS_IN_REPORT);
                                work();
                            },
                            delay,
                            TimeUnit.MILLISECONDS);
        }
    }

    /** Has another turn at a time when something comes due by itself. */
    private void wakeAt(long at) {
        if (wakeAt < now() || wakeAt > at) {
            wakeAt = at;
            loop.next().schedule(this::queueWork, at - now(), TimeUnit.MILLISECONDS);
        }
    }

    private void work() {
        if (!replica.loaded()) {
            return;
        }
        long now = now();
        try {
            holder.wallClock(System.currentTimeMillis() - now);
            fleet.wallClock(System.currentTimeMillis() - now);
            leader.wallClock(System.currentTimeMillis() - now);
            profile.run(EventLoopProfile.Role.HOLDER, () -> {
                holder.tick(now);
                holder.drain().forEach(this::carryOut);
            });
            if (holder.deaf() != deaf) {
                deaf = holder.deaf();
                LOG.info(
                        deaf ? "no worker reaches this node: it gives up its blocks" : "workers reach this node again");
                leader.hears(now(), params.self(), deaf);
                peers.sendAll(heartbeat());
            }
            profile.run(EventLoopProfile.Role.LEADER, () -> lead(now));
        } catch (RuntimeException e) {
            LOG.error("work failed", e);
        }
        // The more a turn has to go over, the longer the pause until the next, so that requests get their part.
        restUntil = now() + Math.min(TICK_MS / 2, REST * (now() - now));
        long offer = holder.nextOffer(now());
        if (offer > 0) {
            wakeAt(now() + offer);
        }
    }

    private void carryOut(BlockHolder.Effect effect) {
        if (effect instanceof BlockHolder.Effect.Command c) {
            LOG.debug("machine {} told {} directly under token {}", c.machine(), c.orders(), c.token());
            workers.call(
                    c.address(),
                    HttpMethod.POST,
                    "/commands",
                    WorkerCodec.commands(c.token(), c.shift(), c.orders()),
                    4000,
                    r -> profile.run(EventLoopProfile.Role.WORKERS, () -> onCommanded(c, r)));
            return;
        }
        if (effect instanceof BlockHolder.Effect.Probe p) {
            workers.call(
                    p.address(),
                    HttpMethod.GET,
                    "/show",
                    null,
                    2000,
                    r -> profile.run(EventLoopProfile.Role.WORKERS, () -> onProbed(r)));
            return;
        }
        LeaderInfo l = replica.leader();
        if (l == null) {
            return;
        }
        boolean here = l.node().equals(params.self());
        if (effect instanceof BlockHolder.Effect.Tell t) {
            if (here) {
                leader.onObservation(now(), t.observation());
            } else {
                peers.send(l.node(), new PeerMessage.Seen(t.observation()));
            }
        } else if (effect instanceof BlockHolder.Effect.Offer o) {
            if (here) {
                leader.onBids(now(), o.batch());
            } else {
                peers.send(l.node(), new PeerMessage.Bids(o.batch()));
            }
        }
    }

    private void onProbed(HttpResult r) {
        holder.onProbeEnded();
        try {
            if (r.is(200)) {
                holder.onProbeAnswer(now(), WorkerCodec.report(r.body()));
            }
        } catch (IOException | RuntimeException e) {
            LOG.info("malformed report: {}", e.getMessage());
        }
        queueWork();
    }

    private void onCommanded(BlockHolder.Effect.Command c, HttpResult r) {
        try {
            if (r.is(200) || r.is(409)) {
                holder.onCommandAnswer(now(), c.machine(), c.token(), WorkerCodec.report(r.body()));
            } else {
                LOG.info("command to machine {} unanswered: {} {}", c.machine(), r.outcome(), r.status());
                holder.onCommandLost(now(), c.machine(), c.token());
            }
        } catch (IOException | RuntimeException e) {
            holder.onCommandLost(now(), c.machine(), c.token());
        }
        queueWork();
    }

    // ---- leader

    private void lead(long now) {
        if (lease < 0) {
            return;
        }
        if (!leader.leads(now)) {
            ledTerm = -1;
            elect();
            return;
        }
        if (leader.leadingTerm() != ledTerm) {
            ledTerm = leader.leadingTerm();
            LOG.info("this node leads under term {}", ledTerm);
            pipeline.restart();
            fleet.start(now, ledTerm);
            lastBook = null;
            beat();
            holder.resynchronize(now);
            holder.drain().forEach(this::carryOut);
        }
        if (state.ageMs() < 3000 && cloud.ready(now) && now - fleetAt >= FLEET_MS) {
            fleetAt = now;
            CloudCall[] next = new CloudCall[1];
            profile.run(
                    EventLoopProfile.Role.FLEET,
                    () -> next[0] = fleet.next(now, leader.machines(), leader.condemned(), leader.suspects()));
            CloudCall call = next[0];
            fleetAt += Math.min(FLEET_MS, FLEET_REST * (now() - now));
            if (call != null) {
                fleetAt = now - FLEET_MS;
                cloud.call(now, call);
            }
        }
        if (leader.takeSuspectNews()) {
            tellBook();
        }
        transact(now);
    }

    private void elect() {
        if (electing || state.failing()) {
            return;
        }
        if (leader.election(now()) == null) {
            return;
        }
        electing = true;
        loop.next()
                .schedule(
                        () -> {
                            Txn fresh = leader.election(now());
                            if (fresh == null || lease < 0) {
                                electing = false;
                                return;
                            }
                            state.send(
                                    fresh,
                                    (result, ledger) -> state.sync(ok -> {
                                        electing = false;
                                        queueWork();
                                    }));
                        },
                        ThreadLocalRandom.current().nextLong(150),
                        TimeUnit.MILLISECONDS);
    }

    private void transact(long now) {
        if (state.failing()) {
            // Nothing would be stored; what is drafted from a replica that stands still only says things that aren't
            // so.
            return;
        }
        long gap = Math.max(params.windowMs() / PLANS_IN_WINDOW, params.reportMs() / DRAFTS_IN_REPORT)
                * (fruitless ? FRUITLESS : 1);
        if (now - plannedAt < gap) {
            wakeAt(plannedAt + gap);
            return;
        }
        Txn txn = pipeline.next(() -> nextChange(now));
        if (txn == null) {
            long wait = leader.nextPlan(now);
            if (wait > 0) {
                wakeAt(now + wait);
            }
            return;
        }
        LOG.debug("{}", txn);
        state.lead(txn, (result, ledger) -> {
            pipeline.ended(result, ledger);
            boolean good = result == TxnResult.OK || result == TxnResult.CONFLICT;
            if (result != TxnResult.REFUSED) {
                state.sync(ok -> queueWork());
            }
            loop.next()
                    .schedule(
                            () -> {
                                pipeline.ready();
                                queueWork();
                            },
                            good ? 10 : 100 + ThreadLocalRandom.current().nextLong(100),
                            TimeUnit.MILLISECONDS);
            if (result == TxnResult.OK) {
                txn.ops().forEach(this::tellEnd);
            }
        });
    }

    /** Every node can answer for a job that is over without asking for it. */
    private void tellEnd(Txn.Op op) {
        String job = Keys.archivedJob(op.key());
        if (job != null) {
            Records.Archived how = Records.archived(op.value());
            front.over(job, how);
            peers.sendAll(new PeerMessage.Over(job, how));
        }
    }

    private Txn nextChange(long now) {
        plannedAt = now;
        if (!types.isEmpty() && replica.types().isEmpty()) {
            return new Txn().guard(Keys.LEADER, replica.stamp(Keys.LEADER)).put(Keys.TYPES, Records.types(types));
        }
        Txn resignation = leader.leads(now) ? leader.resignation(now) : null;
        Txn txn = resignation != null ? resignation : leader.plan(now);
        fruitless = txn == null;
        return txn;
    }

    private void onTypes(List<MachineType> list) {
        types = list;
        queueWork();
    }

    /** Holders learn where their machines are, so that they can take over from a dead one at once. */
    private void onListed() {
        fleet.vanished(now(), leader.machines()).forEach(leader::onMachineVanished);
        tellBook();
    }

    private PeerMessage.Book book() {
        return new PeerMessage.Book(fleet.book(), leader.lateJobs(), List.copyOf(leader.suspects()));
    }

    private void tellBook() {
        PeerMessage.Book book = book();
        if (!book.equals(lastBook)) {
            lastBook = book;
            holder.onBook(book.machines(), book.lateJobs(), book.suspects());
            peers.sendAll(book);
            queueWork();
        }
    }

    private void onDead(String machine) {
        leader.onMachineDead(machine);
        queueWork();
    }

    private void onCancelled(String job) {
        holder.onCancelled(job);
        peers.sendAll(new PeerMessage.Cancelled(job));
        queueWork();
    }

    /** What operators are shown of this process. */
    private Map<String, Object> process() {
        Map<String, Object> process = new LinkedHashMap<>();
        process.put("ready", ready());
        process.put("state_age_ms", state.ageMs());
        process.put("budgets", state.budgets());
        return process;
    }

    /** Why a job's work waits, for its user. */
    private String why(JobView job) {
        if (job.unstarted() == 0) {
            return null;
        }
        if (holder.isSuspect(job.spec().id())) {
            return "its tasks fail on every machine; they are tried ever more rarely";
        }
        return job.unstarted() + " of " + job.spec().tasks() + " tasks wait for room";
    }
}

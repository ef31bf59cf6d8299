package garnetscale.controller;

import garnetscale.config.Settings;
import garnetscale.core.SchedulerConfig;
import garnetscale.core.autoscaling.Autoscaler;
import garnetscale.core.autoscaling.CloudCall;
import garnetscale.core.bidding.Estimator;
import garnetscale.core.leader.Leader;
import garnetscale.core.leader.TransactionPipeline;
import garnetscale.core.machine.MachineType;
import garnetscale.core.machine.WorkerHeartbeat;
import garnetscale.core.partition.HeartbeatReply;
import garnetscale.core.partition.LeaderInfo;
import garnetscale.core.partition.OwnerEffect;
import garnetscale.core.partition.PartitionMap;
import garnetscale.core.partition.PartitionOwner;
import garnetscale.core.state.JobView;
import garnetscale.core.state.Keys;
import garnetscale.core.state.Records;
import garnetscale.core.state.StateReplica;
import garnetscale.core.state.Transaction;
import garnetscale.core.state.TransactionOutcome;
import garnetscale.net.ConnectionLimiter;
import garnetscale.net.HttpClient;
import garnetscale.net.HttpResult;
import garnetscale.net.HttpServer;
import garnetscale.net.PeerLinks;
import garnetscale.net.Reply;
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
public final class Node implements StateLink.Listener {

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
    private static final long AUTOSCALER_INTERVAL_MS = 2 * TICK_MS;
    /** Drafts in a window; each goes through all that waits. */
    private static final int PLANS_IN_WINDOW = 10;
    /** After a draft that held nothing the next one waits this many times as long: batches rarely come alone. */
    private static final long IDLE_BACKOFF = 3;
    /** The pause after a turn, in multiples of what it took. */
    private static final long PAUSE = 3;
    /** The pause after working out what the fleet lacks, likewise. */
    private static final long AUTOSCALER_PAUSE = 200;

    private record Peer(PeerMessage.ControllerHeartbeat last, long at) {}

    private final SchedulerConfig config;
    private final EventLoopProfile profile = new EventLoopProfile();
    private final long turnMs;
    private final Settings settings;
    private final EventLoopGroup loop;
    private final StateReplica replica;
    private final PartitionOwner owner;
    private final Leader leader;
    private final TransactionPipeline pipeline;
    private final Autoscaler autoscaler;
    private final StateLink state;
    private final CloudLink cloud;
    private final JobApi front;
    private final PeerLinks peers;
    private final HttpClient workers;
    private final HttpServer server;
    private final Map<String, Peer> heard = new HashMap<>();
    private long heartbeatsSentAt;
    private boolean isolatedFromWorkers;
    private boolean opened;
    private boolean workQueued;
    private boolean electing;
    private long ledTerm = -1;
    private long wakeAt = -1;
    private long pauseUntil;
    private long autoscaledAt = Long.MIN_VALUE / 2;
    private long plannedAt = Long.MIN_VALUE / 2;
    private boolean idleBackoff;
    private List<MachineType> types = List.of();
    private long lease = -1;
    private PeerMessage.MachineDirectory lastMachineDirectory;

    public Node(Settings settings) {
        this.settings = settings;
        this.config = settings.config();
        this.turnMs = Math.max(LEAST_TURN_MS, config.heartbeatIntervalMs() / TURNS_IN_REPORT);
        this.loop = new NioEventLoopGroup(1, new DefaultThreadFactory("loop"));
        this.replica = new StateReplica(config.features().layouts());
        PartitionMap partitions = new PartitionMap(config);
        this.owner = new PartitionOwner(config, replica, partitions, new Estimator(config.heartbeatIntervalMs()));
        this.leader = new Leader(config, replica, partitions, LOG::info);
        this.pipeline = new TransactionPipeline(replica, leader);
        this.autoscaler = new Autoscaler(config, replica, LOG::info);
        this.state = new StateLink(config, stateIo(), new SplittableRandom(), replica, this);
        this.cloud = new CloudLink(
                config,
                new HttpClient(loop, 1, 1000),
                settings.cloud(),
                autoscaler,
                this::onTypes,
                this::onTerminated,
                this::onListed);
        this.front = new JobApi(config, replica, state, this::reason, this::onCancelled);
        ClusterInspector inspector = new ClusterInspector(
                config,
                partitions,
                new ClusterInspector.Sources(
                        replica, leader, Node::now, this::process, this::reason, front::lookUpTerminal));
        this.peers = new PeerLinks(loop, this::onPeer, inspector, this::onLink, this::onRefused);
        ConnectionLimiter sockets =
                new ConnectionLimiter(config.maxConnections(), config.features().sharedSocketsFrom());
        this.workers = new HttpClient(loop, 1, sockets, 1000);
        this.server = new HttpServer(loop, sockets, config.maxConnections(), this::onRequest);
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
    public void start() throws IOException {
        requireFree(settings.listen());
        await(peers.listen(settings.back()), settings.back());
        loop.next().execute(() -> {
            state.start();
            for (SchedulerConfig.ControllerAddress m : config.controllers()) {
                if (!m.name().equals(config.self())) {
                    peers.connect(m.name(), m.address());
                }
            }
            heartbeatsSentAt = now();
            // With a fixed delay: after a standstill a fixed rate would make up for every beat that it missed.
            loop.next().scheduleWithFixedDelay(this::work, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
            loop.next().scheduleWithFixedDelay(this::sendHeartbeats, HEARTBEAT_MS, HEARTBEAT_MS, TimeUnit.MILLISECONDS);
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
    public Future<?> stop() {
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
                answer.accept(method.equals("POST") ? onHeartbeat(body) : Reply.of(405));
            } else if (path.equals("/ready")) {
                answer.accept(Reply.of(!method.equals("GET") ? 405 : ready() ? 200 : 503));
            } else if (path.equals(JobApi.PATH) || path.startsWith(JobApi.PATH + "/")) {
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

    private Reply onHeartbeat(byte[] body) {
        WorkerHeartbeat heartbeat;
        try {
            heartbeat = WorkerCodec.heartbeat(body);
        } catch (IOException | RuntimeException e) {
            LOG.info("malformed report: {}", e.getMessage());
            return Reply.of(400);
        }
        if (!replica.loaded()) {
            return Reply.of(503);
        }
        HeartbeatReply r = owner.onHeartbeat(now(), heartbeat);
        queueWork();
        if (r instanceof HeartbeatReply.Acknowledge a) {
            if (!a.commands().isEmpty()) {
                LOG.debug("machine {} told {} under token {}", heartbeat.machine(), a.commands(), a.fencingToken());
            }
            return Reply.of(200, WorkerCodec.answer(a.fencingToken(), a.commands()));
        }
        if (r instanceof HeartbeatReply.Redirect to) {
            return Reply.of(421, WorkerCodec.redirect(to.node()));
        }
        LOG.debug("report of {} refused: {}", heartbeat.machine(), ((HeartbeatReply.Reject) r).reason());
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
        owner.confirmed(sentAt);
    }

    @Override
    public void leased(long newLease) {
        lease = newLease;
        owner.onLeaseGranted(newLease);
        leader.onLeaseGranted(newLease);
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
            peers.send(node, machineDirectory());
        }
        peers.send(node, heartbeat());
        LeaderInfo l = replica.leader();
        if (l != null && l.node().equals(node)) {
            owner.resynchronize(now());
            queueWork();
        }
    }

    private PeerMessage.ControllerHeartbeat heartbeat() {
        return new PeerMessage.ControllerHeartbeat(
                config.self(), lease, leader.leadingTerm(), state.ageMs(), owner.isolatedFromWorkers());
    }

    private void sendHeartbeats() {
        long now = now();
        if (now - heartbeatsSentAt > 2 * HEARTBEAT_MS) {
            // It is this process that stood still: its peers' signs of life are still to be read.
            LOG.info("this process stood still for {} ms", now - heartbeatsSentAt - HEARTBEAT_MS);
            heard.replaceAll((node, peer) -> new Peer(peer.last(), now));
        }
        heartbeatsSentAt = now;
        heard.forEach((node, peer) -> {
            if (now() - peer.at() > 4 * HEARTBEAT_MS) {
                leader.suspect(now(), node, true);
            }
        });
        peers.sendAll(heartbeat());
    }

    private void onPeer(PeerMessage m) {
        profile.run(EventLoopProfile.Role.PEERS, () -> onPeerMessage(m));
    }

    private void onPeerMessage(PeerMessage m) {
        if (m instanceof PeerMessage.ControllerHeartbeat h) {
            Peer before = heard.put(h.node(), new Peer(h, now()));
            if (before == null || now() - before.at() < 2 * HEARTBEAT_MS) {
                leader.suspect(now(), h.node(), false);
            }
            leader.onWorkerReachability(now(), h.node(), h.isolatedFromWorkers());
            if (h.leaderTerm() >= 0 && (before == null || before.last().leaderTerm() != h.leaderTerm())) {
                owner.resynchronize(now());
                queueWork();
            }
        } else if (m instanceof PeerMessage.JobCancelled c) {
            owner.onCancelled(c.job());
            queueWork();
        } else if (m instanceof PeerMessage.JobTerminated o) {
            front.onTerminated(o.job(), o.how());
        } else if (m instanceof PeerMessage.MachineDirectory b) {
            owner.onMachineDirectory(b.machines(), b.lateJobs(), b.suspects());
            queueWork();
        } else if (m instanceof PeerMessage.MachineStatusUpdate s) {
            leader.onMachineStatus(now(), s.machineStatus());
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
            long delay = Math.max(turnMs, pauseUntil - now());
            long due = now() + delay;
            loop.next()
                    .schedule(
                            () -> {
                                workQueued = false;
                                owner.lagging(now() - due > config.heartbeatIntervalMs() / LAGS_IN_REPORT);
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
            owner.wallClock(System.currentTimeMillis() - now);
            autoscaler.wallClock(System.currentTimeMillis() - now);
            leader.wallClock(System.currentTimeMillis() - now);
            profile.run(EventLoopProfile.Role.OWNER, () -> {
                owner.tick(now);
                owner.drain().forEach(this::carryOut);
            });
            if (owner.isolatedFromWorkers() != isolatedFromWorkers) {
                isolatedFromWorkers = owner.isolatedFromWorkers();
                LOG.info(
                        isolatedFromWorkers
                                ? "no worker reaches this node: it gives up its blocks"
                                : "workers reach this node again");
                leader.onWorkerReachability(now(), config.self(), isolatedFromWorkers);
                peers.sendAll(heartbeat());
            }
            profile.run(EventLoopProfile.Role.LEADER, () -> lead(now));
        } catch (RuntimeException e) {
            LOG.error("work failed", e);
        }
        // The more a turn has to go over, the longer the pause until the next, so that requests get their part.
        pauseUntil = now() + Math.min(TICK_MS / 2, PAUSE * (now() - now));
        long offer = owner.nextOffer(now());
        if (offer > 0) {
            wakeAt(now() + offer);
        }
    }

    private void carryOut(OwnerEffect effect) {
        if (effect instanceof OwnerEffect.SendCommands c) {
            LOG.debug("machine {} told {} directly under token {}", c.machine(), c.commands(), c.fencingToken());
            workers.call(
                    c.address(),
                    HttpMethod.POST,
                    "/commands",
                    WorkerCodec.commands(c.fencingToken(), c.agentEpoch(), c.commands()),
                    4000,
                    r -> profile.run(EventLoopProfile.Role.WORKERS, () -> onCommanded(c, r)));
            return;
        }
        if (effect instanceof OwnerEffect.ProbeWorker p) {
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
        boolean here = l.node().equals(config.self());
        if (effect instanceof OwnerEffect.PublishStatus t) {
            if (here) {
                leader.onMachineStatus(now(), t.machineStatus());
            } else {
                peers.send(l.node(), new PeerMessage.MachineStatusUpdate(t.machineStatus()));
            }
        } else if (effect instanceof OwnerEffect.SubmitBids o) {
            if (here) {
                leader.onBids(now(), o.batch());
            } else {
                peers.send(l.node(), new PeerMessage.Bids(o.batch()));
            }
        }
    }

    private void onProbed(HttpResult r) {
        owner.onProbeEnded();
        try {
            if (r.is(200)) {
                owner.onProbeAnswer(now(), WorkerCodec.heartbeat(r.body()));
            }
        } catch (IOException | RuntimeException e) {
            LOG.info("malformed report: {}", e.getMessage());
        }
        queueWork();
    }

    private void onCommanded(OwnerEffect.SendCommands c, HttpResult r) {
        try {
            if (r.is(200) || r.is(409)) {
                owner.onCommandAnswer(now(), c.machine(), c.fencingToken(), WorkerCodec.heartbeat(r.body()));
            } else {
                LOG.info("command to machine {} unanswered: {} {}", c.machine(), r.outcome(), r.status());
                owner.onCommandLost(now(), c.machine(), c.fencingToken());
            }
        } catch (IOException | RuntimeException e) {
            owner.onCommandLost(now(), c.machine(), c.fencingToken());
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
            autoscaler.start(now, ledTerm);
            lastMachineDirectory = null;
            sendHeartbeats();
            owner.resynchronize(now);
            owner.drain().forEach(this::carryOut);
        }
        if (state.ageMs() < 3000 && cloud.ready(now) && now - autoscaledAt >= AUTOSCALER_INTERVAL_MS) {
            autoscaledAt = now;
            CloudCall[] next = new CloudCall[1];
            profile.run(
                    EventLoopProfile.Role.AUTOSCALER,
                    () -> next[0] =
                            autoscaler.next(now, leader.machines(), leader.decommissioned(), leader.suspects()));
            CloudCall call = next[0];
            autoscaledAt += Math.min(AUTOSCALER_INTERVAL_MS, AUTOSCALER_PAUSE * (now() - now));
            if (call != null) {
                autoscaledAt = now - AUTOSCALER_INTERVAL_MS;
                cloud.call(now, call);
            }
        }
        if (leader.takeSuspectNews()) {
            publishMachineDirectory();
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
                            Transaction fresh = leader.election(now());
                            if (fresh == null || lease < 0) {
                                electing = false;
                                return;
                            }
                            state.send(
                                    fresh,
                                    (result, revision) -> state.sync(ok -> {
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
        long gap = Math.max(config.windowMs() / PLANS_IN_WINDOW, config.heartbeatIntervalMs() / DRAFTS_IN_REPORT)
                * (idleBackoff ? IDLE_BACKOFF : 1);
        if (now - plannedAt < gap) {
            wakeAt(plannedAt + gap);
            return;
        }
        Transaction transaction = pipeline.next(() -> nextChange(now));
        if (transaction == null) {
            long wait = leader.nextPlan(now);
            if (wait > 0) {
                wakeAt(now + wait);
            }
            return;
        }
        LOG.debug("{}", transaction);
        state.lead(transaction, (result, revision) -> {
            pipeline.ended(result, revision);
            boolean good = result == TransactionOutcome.OK || result == TransactionOutcome.CONFLICT;
            if (result != TransactionOutcome.REFUSED) {
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
            if (result == TransactionOutcome.OK) {
                transaction.ops().forEach(this::tellEnd);
            }
        });
    }

    /** Every node can answer for a job that is over without asking for it. */
    private void tellEnd(Transaction.Op op) {
        String job = Keys.terminalJobOfKey(op.key());
        if (job != null) {
            Records.TerminalJob how = Records.terminalJob(op.value());
            front.onTerminated(job, how);
            peers.sendAll(new PeerMessage.JobTerminated(job, how));
        }
    }

    private Transaction nextChange(long now) {
        plannedAt = now;
        if (!types.isEmpty() && replica.types().isEmpty()) {
            return new Transaction()
                    .guard(Keys.LEADER, replica.modRevision(Keys.LEADER))
                    .put(Keys.TYPES, Records.types(types));
        }
        Transaction resignation = leader.leads(now) ? leader.resignation(now) : null;
        Transaction transaction = resignation != null ? resignation : leader.plan(now);
        idleBackoff = transaction == null;
        return transaction;
    }

    private void onTypes(List<MachineType> list) {
        types = list;
        queueWork();
    }

    /** Holders learn where their machines are, so that they can take over from a dead one at once. */
    private void onListed() {
        autoscaler.vanished(now(), leader.machines()).forEach(leader::onMachineVanished);
        publishMachineDirectory();
    }

    private PeerMessage.MachineDirectory machineDirectory() {
        return new PeerMessage.MachineDirectory(
                autoscaler.machineDirectory(), leader.lateJobs(), List.copyOf(leader.suspects()));
    }

    private void publishMachineDirectory() {
        PeerMessage.MachineDirectory machineDirectory = machineDirectory();
        if (!machineDirectory.equals(lastMachineDirectory)) {
            lastMachineDirectory = machineDirectory;
            owner.onMachineDirectory(
                    machineDirectory.machines(), machineDirectory.lateJobs(), machineDirectory.suspects());
            peers.sendAll(machineDirectory);
            queueWork();
        }
    }

    private void onTerminated(String machine) {
        leader.onMachineTerminated(machine);
        queueWork();
    }

    private void onCancelled(String job) {
        owner.onCancelled(job);
        peers.sendAll(new PeerMessage.JobCancelled(job));
        queueWork();
    }

    /** What operators are shown of this process. */
    private ClusterInspector.ProcessView process() {
        return new ClusterInspector.ProcessView(ready(), state.ageMs(), state.budgets());
    }

    /** Why a job's work waits, for its user. */
    private String reason(JobView job) {
        if (job.unstarted() == 0) {
            return null;
        }
        if (owner.isSuspect(job.spec().id())) {
            return "its tasks fail on every machine; they are tried ever more rarely";
        }
        return job.unstarted() + " of " + job.spec().tasks() + " tasks wait for room";
    }
}

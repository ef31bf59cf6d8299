package garnetscale.controller;

import garnetscale.config.Settings;
import garnetscale.core.SchedulerConfig;
import garnetscale.core.autoscaling.Autoscaler;
import garnetscale.core.bidding.Estimator;
import garnetscale.core.cluster.PartitionMap;
import garnetscale.core.leader.Leader;
import garnetscale.core.partition.PartitionOwner;
import garnetscale.core.state.StateReplica;
import garnetscale.net.ConnectionLimiter;
import garnetscale.net.HttpClient;
import garnetscale.net.HttpResult;
import garnetscale.net.HttpServer;
import garnetscale.peer.PeerMessage;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One controller process: creates the core's roles and the links around them, starts and stops them, and runs their cycles. All
 * of this runs on one event loop; the core's objects are used on no other thread.
 */
public final class ControllerNode implements StateLink.Listener {

    private static final Logger LOG = LoggerFactory.getLogger(ControllerNode.class);
    private static final long PROFILE_INTERVAL_MS = 60_000;
    private static final long LISTEN_RETRY_MS = 1000;
    private static final long CONNECT_TIMEOUT_MS = 1000;
    private static final int STATE_CONNECTIONS = 6;

    private final Settings settings;
    private final EventLoopGroup eventLoopGroup;
    private final EventLoop eventLoop;
    private final EventLoopProfile profile = new EventLoopProfile();
    private final EventLoopPacer pacer;
    private final ControllerContext context;
    private final StateLink state;
    private final PeerMessageHandler peers;
    private final OwnerEffectExecutor effects;
    private final LeadershipLoop leadership;
    private final HttpServer server;
    private boolean serverOpened;
    private boolean isolatedFromWorkers;

    /** Creates the process; it neither sends nor listens before {@link #start}. */
    public ControllerNode(Settings settings) {
        SchedulerConfig config = settings.config();
        this.settings = settings;
        this.eventLoopGroup = new NioEventLoopGroup(1, new DefaultThreadFactory("loop"));
        this.eventLoop = eventLoopGroup.next();
        this.pacer = new EventLoopPacer(config, eventLoop, this::runRequestedCycle);
        StateReplica replica = new StateReplica(config.features().layouts());
        PartitionMap partitions = new PartitionMap(config);
        this.context = new ControllerContext(
                config,
                eventLoop,
                pacer,
                profile,
                replica,
                new PartitionOwner(config, replica, partitions, new Estimator(config.heartbeatIntervalMs())),
                new Leader(config, replica, partitions, LOG::info),
                new Autoscaler(config, replica, LOG::info));
        this.state = new StateLink(config, stateIo(), new SplittableRandom(), replica, this);
        CloudLink cloud = new CloudLink(
                config,
                new HttpClient(eventLoopGroup, 1, CONNECT_TIMEOUT_MS),
                settings.cloudAddress(),
                context.autoscaler());
        PeerHeartbeats peerHeartbeats = new PeerHeartbeats();
        ProcessStatus status = new ProcessStatus(replica, context.owner(), state, peerHeartbeats);
        JobApi jobApi = new JobApi(config, replica, state, status::waitingReason, this::onJobCancelled);
        ClusterInspector inspector = inspector(partitions, status, jobApi);
        this.peers = new PeerMessageHandler(eventLoopGroup, context, state, jobApi, peerHeartbeats, inspector);
        ConnectionLimiter connections =
                new ConnectionLimiter(config.maxConnections(), config.features().closeConnectionsFrom());
        this.effects = new OwnerEffectExecutor(
                context, new HttpClient(eventLoopGroup, 1, connections, CONNECT_TIMEOUT_MS), peers);
        this.leadership = new LeadershipLoop(context, state, cloud, peers, effects, jobApi);
        this.server = new HttpServer(
                eventLoopGroup, connections, config.maxConnections(), new RequestRouter(context, status, jobApi));
    }

    private ClusterInspector inspector(PartitionMap partitions, ProcessStatus status, JobApi jobApi) {
        return new ClusterInspector(
                context.config(),
                partitions,
                new ClusterInspector.Sources(
                        context.replica(),
                        context.leader(),
                        EventLoopPacer::now,
                        status::view,
                        status::waitingReason,
                        jobApi::lookUpTerminal));
    }

    private StateLink.Io stateIo() {
        HttpClient http = new HttpClient(eventLoopGroup, STATE_CONNECTIONS, CONNECT_TIMEOUT_MS);
        return new StateLink.Io() {
            @Override
            public long now() {
                return EventLoopPacer.now();
            }

            @Override
            public void after(long ms, Runnable task) {
                eventLoop.schedule(task, ms, TimeUnit.MILLISECONDS);
            }

            @Override
            public void call(HttpMethod method, String path, byte[] body, long timeoutMs, Consumer<HttpResult> done) {
                http.call(
                        settings.stateAddress(),
                        method,
                        path,
                        body,
                        timeoutMs,
                        result -> profile.run(EventLoopProfile.Activity.STATE, () -> done.accept(result)));
            }
        };
    }

    // ---- start and stop

    /**
     * Starts the process. The address for users and workers is opened only once the replica is loaded: before that no request can
     * be served, and there may be many: after all controllers have stopped, each worker sends one a second.
     *
     * @throws IOException if an address is in use
     */
    public void start() throws IOException {
        requireFree(settings.listenAddress());
        await(peers.listen(settings.peerAddress()), settings.peerAddress());
        eventLoop.execute(() -> {
            state.start();
            peers.connect();
            // Fixed delay, not fixed rate: after a stall, a fixed rate would catch up on every missed run.
            every(EventLoopPacer.TICK_MS, this::runCycle);
            every(PeerHeartbeats.INTERVAL_MS, peers::checkPeersAndSendHeartbeat);
            every(PROFILE_INTERVAL_MS, () -> LOG.info("event loop profile, {}", profile.takeSummary()));
        });
    }

    private void every(long intervalMs, Runnable action) {
        eventLoop.scheduleWithFixedDelay(action, intervalMs, intervalMs, TimeUnit.MILLISECONDS);
    }

    /** Opens and closes the address for users and workers, so that an address in use is detected at the start. */
    private static void requireFree(String address) throws IOException {
        try (ServerSocketChannel probe = ServerSocketChannel.open()) {
            probe.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            probe.bind(HttpClient.address(address));
        } catch (IOException e) {
            throw new IOException("can't listen on " + address + ": " + e.getMessage(), e);
        }
    }

    private void await(ChannelFuture listening, String address) throws IOException {
        if (!listening.awaitUninterruptibly().isSuccess()) {
            stop();
            throw new IOException(
                    "can't listen on " + address + ": " + listening.cause().getMessage());
        }
    }

    /** Opens the address for users and workers; retries if it has been taken since the start. */
    private void openServer() {
        server.listen(settings.listenAddress()).addListener((ChannelFutureListener) listening -> {
            if (!listening.isSuccess()) {
                LOG.error(
                        "listen failed, trying again, address={} retry_ms={} error={}",
                        settings.listenAddress(),
                        LISTEN_RETRY_MS,
                        listening.cause().getMessage());
                eventLoop.schedule(this::openServer, LISTEN_RETRY_MS, TimeUnit.MILLISECONDS);
            }
        });
    }

    /** Stops the process; the future completes when it has stopped. */
    public Future<?> stop() {
        eventLoop.execute(state::stop);
        return eventLoopGroup.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    // ---- events

    @Override
    public void onReplicaAdvanced() {
        if (!serverOpened) {
            serverOpened = true;
            openServer();
        }
        pacer.requestCycle();
    }

    @Override
    public void onReplicaConfirmed(long sentAt) {
        context.owner().onReplicaConfirmed(sentAt);
    }

    @Override
    public void onLeaseChanged(long lease) {
        peers.onLeaseChanged(lease);
        leadership.onLeaseChanged(lease);
        context.owner().onLeaseChanged(lease);
        context.leader().onLeaseChanged(lease);
        pacer.requestCycle();
    }

    private void onJobCancelled(String job) {
        context.owner().onCancelled(job);
        peers.sendAll(new PeerMessage.JobCancelled(job));
        pacer.requestCycle();
    }

    // ---- cycles

    private void runRequestedCycle(boolean lagging) {
        context.owner().setLagging(lagging);
        runCycle();
    }

    @SuppressWarnings("IllegalCatch") // An exception in one cycle mustn't end the periodic cycles.
    private void runCycle() {
        if (!context.replica().isLoaded()) {
            return;
        }
        long now = EventLoopPacer.now();
        try {
            setWallClock(now);
            profile.run(EventLoopProfile.Activity.OWNER, () -> {
                context.owner().tick(now);
                effects.drain();
            });
            publishReachability();
            profile.run(EventLoopProfile.Activity.LEADER, () -> leadership.run(now));
        } catch (RuntimeException e) {
            LOG.error("cycle failed, later cycles still run", e);
        }
        pacer.pauseAfterCycle(now);
        long nextBidsMs = context.owner().msUntilNextBids(EventLoopPacer.now());
        if (nextBidsMs > 0) {
            pacer.requestCycleAt(EventLoopPacer.now() + nextBidsMs);
        }
    }

    private void setWallClock(long now) {
        long offset = System.currentTimeMillis() - now;
        context.owner().setWallClockOffset(offset);
        context.autoscaler().setWallClockOffset(offset);
        context.leader().setWallClockOffset(offset);
    }

    /** Reports to the leader role and to all peers when workers stop or start reaching this process. */
    private void publishReachability() {
        boolean isolated = context.owner().isIsolatedFromWorkers();
        if (isolated == isolatedFromWorkers) {
            return;
        }
        isolatedFromWorkers = isolated;
        if (isolated) {
            LOG.warn(
                    "isolated from workers, giving up partitions, node={}",
                    context.config().self());
        } else {
            LOG.info(
                    "workers reach this controller again, node={}",
                    context.config().self());
        }
        context.leader()
                .onWorkerReachability(EventLoopPacer.now(), context.config().self(), isolated);
        peers.sendHeartbeat();
    }
}

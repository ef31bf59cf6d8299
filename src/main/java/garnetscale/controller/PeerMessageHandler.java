package garnetscale.controller;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.cluster.LeaderInfo;
import garnetscale.core.partition.MachineStatus;
import garnetscale.net.PeerLinks;
import garnetscale.peer.PeerMessage;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoopGroup;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Exchanges messages with the other controllers: sends heartbeats, dispatches received messages to the roles in this process, and
 * reacts to links that come up or are refused. Confined to the event loop.
 */
final class PeerMessageHandler {

    private static final Logger LOG = LoggerFactory.getLogger(PeerMessageHandler.class);
    /**
     * Heartbeats at least this many intervals apart mean a stall: of this process if they are its own, of the peer if they were
     * received. The first heartbeat after a peer's stall doesn't make the peer reachable yet.
     */
    private static final long STALL_INTERVALS = 2;

    private static final long MAX_GAP_MS = STALL_INTERVALS * PeerHeartbeats.INTERVAL_MS;

    private final ControllerContext context;
    private final StateLink state;
    private final JobApi jobApi;
    private final PeerHeartbeats heartbeats;
    private final PeerLinks links;
    private long lease = -1;
    private long heartbeatsSentAt;

    PeerMessageHandler(
            EventLoopGroup eventLoopGroup,
            ControllerContext context,
            StateLink state,
            JobApi jobApi,
            PeerHeartbeats heartbeats,
            PeerLinks.OperatorRequestHandler inspector) {
        this.context = context;
        this.state = state;
        this.jobApi = jobApi;
        this.heartbeats = heartbeats;
        this.links = new PeerLinks(eventLoopGroup, this::onMessage, inspector, this::onLinkUp, this::onLinkRefused);
    }

    /** Listens for connections of the other controllers; the future fails if the address is in use. */
    ChannelFuture listen(String address) {
        return links.listen(address);
    }

    /** Connects to all other controllers. */
    void connect() {
        SchedulerConfig config = context.config();
        for (SchedulerConfig.ControllerAddress controller : config.controllers()) {
            if (!controller.name().equals(config.self())) {
                links.connect(controller.name(), controller.address());
            }
        }
        heartbeatsSentAt = EventLoopPacer.now();
    }

    /**
     * Records the session lease that this process is registered under.
     *
     * @param newLease the id of the session lease, or a negative number when it is lost
     */
    void onLeaseChanged(long newLease) {
        lease = newLease;
    }

    /** Sends a message to one controller; a message that can't be sent is lost. */
    void send(String controller, PeerMessage message) {
        links.send(controller, message);
    }

    /** Sends a message to every other controller whose link is up. */
    void sendAll(PeerMessage message) {
        links.sendAll(message);
    }

    // ---- heartbeats

    /** Reports silent peers to the leader role, and sends a heartbeat to all peers. */
    void checkPeersAndSendHeartbeat() {
        long now = EventLoopPacer.now();
        long gapMs = now - heartbeatsSentAt;
        if (gapMs > MAX_GAP_MS) {
            // This process stalled, not its peers: their heartbeats are still to be read.
            LOG.warn("process stalled, duration_ms={}", gapMs - PeerHeartbeats.INTERVAL_MS);
            heartbeats.restartTimers(now);
        }
        heartbeatsSentAt = now;
        heartbeats.forEachSilent(now, peer -> context.leader().onPeerReachability(EventLoopPacer.now(), peer, true));
        sendHeartbeat();
    }

    /** Sends a heartbeat to all peers at once, for example when its content has changed. */
    void sendHeartbeat() {
        links.sendAll(heartbeat());
    }

    private PeerMessage.ControllerHeartbeat heartbeat() {
        return new PeerMessage.ControllerHeartbeat(
                context.config().self(),
                lease,
                context.leader().leadingTerm(),
                state.ageMs(),
                context.owner().isIsolatedFromWorkers());
    }

    /** Returns the leader's current machine directory. */
    PeerMessage.MachineDirectory machineDirectory() {
        return new PeerMessage.MachineDirectory(
                context.autoscaler().machineDirectory(),
                context.leader().jobsWantingLateBids(),
                List.copyOf(context.leader().quarantinedJobs()));
    }

    // ---- links

    private void onLinkUp(String peer) {
        context.leader().onPeerReachability(EventLoopPacer.now(), peer, false);
        if (context.leader().leadingTerm() >= 0) {
            links.send(peer, machineDirectory());
        }
        links.send(peer, heartbeat());
        LeaderInfo leader = context.replica().leader();
        if (leader != null && leader.node().equals(peer)) {
            context.owner().resynchronize(EventLoopPacer.now());
            context.pacer().requestCycle();
        }
    }

    private void onLinkRefused(String peer) {
        context.leader().onPeerReachability(EventLoopPacer.now(), peer, true);
        context.pacer().requestCycle();
    }

    // ---- messages

    private void onMessage(PeerMessage message) {
        context.profile().run(EventLoopProfile.Activity.PEERS, () -> dispatch(message));
    }

    private void dispatch(PeerMessage message) {
        if (message instanceof PeerMessage.ControllerHeartbeat heartbeat) {
            onHeartbeat(heartbeat);
        } else if (message instanceof PeerMessage.JobCancelled cancelled) {
            context.owner().onCancelled(cancelled.job());
            context.pacer().requestCycle();
        } else if (message instanceof PeerMessage.JobTerminated terminated) {
            jobApi.onTerminated(terminated.job(), terminated.terminalJob());
        } else if (message instanceof PeerMessage.MachineDirectory directory) {
            context.owner()
                    .onMachineDirectory(directory.machines(), directory.lateBidJobs(), directory.quarantinedJobs());
            context.pacer().requestCycle();
        } else if (message instanceof PeerMessage.MachineStatusUpdate update) {
            onMachineStatus(update.machineStatus());
            context.pacer().requestCycle();
        } else if (message instanceof PeerMessage.Bids bids) {
            context.leader().onBids(EventLoopPacer.now(), bids.batch());
            context.pacer().requestCycle();
        }
    }

    private void onMachineStatus(MachineStatus status) {
        if (!context.leader().onMachineStatus(EventLoopPacer.now(), status)) {
            LOG.debug(
                    "machine status ignored, machine={} partition={} owner={} term={} leader_term={}",
                    status.machine(),
                    status.partition(),
                    status.node(),
                    status.term(),
                    context.leader().leadingTerm());
        }
    }

    private void onHeartbeat(PeerMessage.ControllerHeartbeat heartbeat) {
        String peer = heartbeat.node();
        PeerHeartbeats.Received before = heartbeats.put(heartbeat, EventLoopPacer.now());
        if (before == null || EventLoopPacer.now() - before.at() < MAX_GAP_MS) {
            context.leader().onPeerReachability(EventLoopPacer.now(), peer, false);
        }
        context.leader().onWorkerReachability(EventLoopPacer.now(), peer, heartbeat.isolatedFromWorkers());
        if (heartbeat.leaderTerm() >= 0
                && (before == null || before.heartbeat().leaderTerm() != heartbeat.leaderTerm())) {
            context.owner().resynchronize(EventLoopPacer.now());
            context.pacer().requestCycle();
        }
    }
}

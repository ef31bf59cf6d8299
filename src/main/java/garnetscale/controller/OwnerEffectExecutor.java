package garnetscale.controller;

import garnetscale.core.bidding.BidBatch;
import garnetscale.core.partition.LeaderInfo;
import garnetscale.core.partition.MachineStatus;
import garnetscale.core.partition.OwnerEffect;
import garnetscale.net.HttpClient;
import garnetscale.net.HttpResult;
import garnetscale.peer.PeerMessage;
import garnetscale.wire.WorkerCodec;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Carries out what the owner of partitions wants done: commands and probes go to workers, status and bids to the leader, which
 * may be in this process. Lives on the event loop.
 */
final class OwnerEffectExecutor {

    private static final Logger LOG = LoggerFactory.getLogger(OwnerEffectExecutor.class);
    private static final String COMMANDS_PATH = "/commands";
    private static final String STATUS_PATH = "/show";
    private static final long COMMAND_TIMEOUT_MS = 4000;
    private static final long PROBE_TIMEOUT_MS = 2000;
    private static final int OK = 200;
    /** The worker has seen a newer fencing token; its answer holds its status all the same. */
    private static final int CONFLICT = 409;

    private final ControllerContext context;
    private final HttpClient workers;
    private final PeerMessageHandler peers;

    OwnerEffectExecutor(ControllerContext context, HttpClient workers, PeerMessageHandler peers) {
        this.context = context;
        this.workers = workers;
        this.peers = peers;
    }

    /** Carries out everything that the owner wants done by now. */
    void drain() {
        context.owner().drain().forEach(this::execute);
    }

    private void execute(OwnerEffect effect) {
        if (effect instanceof OwnerEffect.SendCommands command) {
            sendCommands(command);
        } else if (effect instanceof OwnerEffect.ProbeWorker probe) {
            probe(probe);
        } else if (effect instanceof OwnerEffect.PublishStatus publish) {
            publishStatus(publish.machineStatus());
        } else if (effect instanceof OwnerEffect.SubmitBids submit) {
            submitBids(submit.batch());
        }
    }

    // ---- to the leader; what comes while there is none is published again to the next one

    private void publishStatus(MachineStatus status) {
        LeaderInfo leader = context.replica().leader();
        if (leader == null) {
            return;
        }
        if (isHere(leader)) {
            context.leader().onMachineStatus(EventLoopPacer.now(), status);
        } else {
            peers.send(leader.node(), new PeerMessage.MachineStatusUpdate(status));
        }
    }

    private void submitBids(BidBatch batch) {
        LeaderInfo leader = context.replica().leader();
        if (leader == null) {
            return;
        }
        if (isHere(leader)) {
            context.leader().onBids(EventLoopPacer.now(), batch);
        } else {
            peers.send(leader.node(), new PeerMessage.Bids(batch));
        }
    }

    private boolean isHere(LeaderInfo leader) {
        return leader.node().equals(context.config().self());
    }

    // ---- to workers

    private void sendCommands(OwnerEffect.SendCommands command) {
        LOG.debug(
                "commands sent directly, machine={} fencing_token={} commands={}",
                command.machine(),
                command.fencingToken(),
                command.commands());
        workers.call(
                command.address(),
                HttpMethod.POST,
                COMMANDS_PATH,
                WorkerCodec.commands(command.fencingToken(), command.agentEpoch(), command.commands()),
                COMMAND_TIMEOUT_MS,
                result -> context.profile()
                        .run(EventLoopProfile.Activity.WORKERS, () -> onCommandsAnswered(command, result)));
    }

    @SuppressWarnings("IllegalCatch") // Whatever a malformed answer makes fail, the command counts as unanswered.
    private void onCommandsAnswered(OwnerEffect.SendCommands command, HttpResult result) {
        try {
            if (result.is(OK) || result.is(CONFLICT)) {
                context.owner()
                        .onCommandAnswer(
                                EventLoopPacer.now(),
                                command.machine(),
                                command.fencingToken(),
                                WorkerCodec.heartbeat(result.body()));
            } else {
                LOG.info(
                        "commands unanswered, to be sent again if still needed, machine={} outcome={} status={}",
                        command.machine(),
                        result.outcome(),
                        result.status());
                context.owner().onCommandLost(EventLoopPacer.now(), command.machine(), command.fencingToken());
            }
        } catch (IOException | RuntimeException e) {
            context.owner().onCommandLost(EventLoopPacer.now(), command.machine(), command.fencingToken());
        }
        context.pacer().requestCycle();
    }

    private void probe(OwnerEffect.ProbeWorker probe) {
        workers.call(probe.address(), HttpMethod.GET, STATUS_PATH, null, PROBE_TIMEOUT_MS, result -> context.profile()
                .run(EventLoopProfile.Activity.WORKERS, () -> onProbeAnswered(probe, result)));
    }

    @SuppressWarnings("IllegalCatch") // Whatever a malformed answer makes fail, the probe counts as unanswered.
    private void onProbeAnswered(OwnerEffect.ProbeWorker probe, HttpResult result) {
        context.owner().onProbeEnded();
        try {
            if (result.is(OK)) {
                context.owner().onProbeAnswer(EventLoopPacer.now(), WorkerCodec.heartbeat(result.body()));
            }
        } catch (IOException | RuntimeException e) {
            LOG.warn("probe answer malformed, ignored, machine={} error={}", probe.machine(), e.getMessage());
        }
        context.pacer().requestCycle();
    }
}

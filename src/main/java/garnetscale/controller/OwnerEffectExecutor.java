package garnetscale.controller;

import garnetscale.core.cluster.LeaderInfo;
import garnetscale.core.partition.OwnerEffect;
import garnetscale.net.HttpClient;
import garnetscale.net.HttpResult;
import garnetscale.net.HttpStatus;
import garnetscale.peer.PeerMessage;
import garnetscale.wire.WorkerCodec;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Carries out the effects of the partition owner: sends commands and probes to workers, and status and bids to the leader, which
 * may be in this process. Confined to the event loop.
 */
final class OwnerEffectExecutor {

    private static final Logger LOG = LoggerFactory.getLogger(OwnerEffectExecutor.class);
    private static final String COMMANDS_PATH = "/commands";
    private static final String STATUS_PATH = "/show";
    private static final long COMMAND_TIMEOUT_MS = 4000;
    private static final long PROBE_TIMEOUT_MS = 2000;

    private final ControllerContext context;
    private final HttpClient workers;
    private final PeerMessageHandler peers;

    OwnerEffectExecutor(ControllerContext context, HttpClient workers, PeerMessageHandler peers) {
        this.context = context;
        this.workers = workers;
        this.peers = peers;
    }

    /** Carries out all effects that the owner has produced since the last call. */
    void drain() {
        context.owner().drainEffects().forEach(this::execute);
    }

    private void execute(OwnerEffect effect) {
        if (effect instanceof OwnerEffect.SendCommands command) {
            sendCommands(command);
        } else if (effect instanceof OwnerEffect.ProbeWorker probe) {
            probe(probe);
        } else {
            sendToLeader(effect);
        }
    }

    // ---- to the leader

    /** Sends an effect to the leader. Without a leader it is dropped: the owner publishes everything again to the next one. */
    private void sendToLeader(OwnerEffect effect) {
        LeaderInfo leader = context.replica().leader();
        if (leader == null) {
            return;
        }
        boolean here = leader.node().equals(context.config().self());
        if (effect instanceof OwnerEffect.PublishStatus publish) {
            if (here) {
                context.leader().onMachineStatus(EventLoopPacer.now(), publish.machineStatus());
            } else {
                peers.send(leader.node(), new PeerMessage.MachineStatusUpdate(publish.machineStatus()));
            }
        } else if (effect instanceof OwnerEffect.SubmitBids submit) {
            if (here) {
                context.leader().onBids(EventLoopPacer.now(), submit.batch());
            } else {
                peers.send(leader.node(), new PeerMessage.Bids(submit.batch()));
            }
        }
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

    @SuppressWarnings("IllegalCatch") // After a malformed answer, the command counts as unanswered.
    private void onCommandsAnswered(OwnerEffect.SendCommands command, HttpResult result) {
        try {
            // A worker rejects the commands with 409 if it has seen a higher fencing token than theirs, or if their
            // agent epoch isn't its current one. It answers with its status all the same.
            if (result.is(HttpStatus.OK) || result.is(HttpStatus.CONFLICT)) {
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

    @SuppressWarnings("IllegalCatch") // After a malformed answer, the probe counts as unanswered.
    private void onProbeAnswered(OwnerEffect.ProbeWorker probe, HttpResult result) {
        context.owner().onProbeEnded();
        try {
            if (result.is(HttpStatus.OK)) {
                context.owner().onProbeAnswer(EventLoopPacer.now(), WorkerCodec.heartbeat(result.body()));
            }
        } catch (IOException | RuntimeException e) {
            LOG.warn("probe answer malformed, ignored, machine={} error={}", probe.machine(), e.getMessage());
        }
        context.pacer().requestCycle();
    }
}

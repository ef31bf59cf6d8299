package garnetscale.core.partition;

import garnetscale.core.cluster.FencingTokens;
import garnetscale.core.cluster.PartitionMap;
import garnetscale.core.machine.WorkerCommand;
import garnetscale.core.machine.WorkerHeartbeat;
import java.util.List;
import java.util.Map;

/**
 * Handles messages from workers: heartbeats, and answers to probes and direct commands. An answer has the form of a heartbeat
 * but doesn't renew the worker's lease. Any of these messages may be late, repeated or lost.
 */
final class WorkerMessageHandler {

    private final PartitionMap partitions;
    private final PartitionLeases leases;
    private final Map<String, MachineView> machines;
    private final Reachability reachability;
    private final HeartbeatIntake intake;
    private final TerminationProof termination;
    private final CommandReconciler reconciler;
    private final WorkerProbes probes;
    private final StatusPublisher status;
    private final BidSubmitter bids;

    /** {@code machines} is shared; this class adds machines that have no view yet. */
    WorkerMessageHandler(
            PartitionMap partitions,
            PartitionLeases leases,
            Map<String, MachineView> machines,
            Reachability reachability,
            HeartbeatIntake intake,
            TerminationProof termination,
            CommandReconciler reconciler,
            WorkerProbes probes,
            StatusPublisher status,
            BidSubmitter bids) {
        this.partitions = partitions;
        this.leases = leases;
        this.machines = machines;
        this.reachability = reachability;
        this.intake = intake;
        this.termination = termination;
        this.reconciler = reconciler;
        this.probes = probes;
        this.status = status;
        this.bids = bids;
    }

    /** Returns the reply to a heartbeat. The owned partitions must have been refreshed from the replica. */
    HeartbeatReply onHeartbeat(long now, WorkerHeartbeat heartbeat) {
        reachability.onReachable(now);
        String partition = partitions.partitionOf(heartbeat.machine(), heartbeat.zone());
        OwnedPartition owned = leases.owned(partition);
        if (owned == null) {
            return leases.redirect(partition);
        }
        if (!leases.mayAct(now)) {
            return new HeartbeatReply.Reject("term not confirmed within the grace");
        }
        MachineView machine = viewOf(heartbeat.machine(), partition, owned);
        if (!machine.isFresh(heartbeat)) {
            return new HeartbeatReply.Reject("report overtaken");
        }
        if (heartbeat.fencingToken() > machine.fencing.token()
                && FencingTokens.partitionTermOf(heartbeat.fencingToken()) != owned.term()) {
            return new HeartbeatReply.Reject("the worker has seen a newer term");
        }
        return acknowledge(now, machine, owned, heartbeat);
    }

    /**
     * Acknowledges a heartbeat and reconciles the machine. Unlike a reconciliation on a tick, this sends no direct commands,
     * which are needed only if the acknowledgement is lost, and expires no agent epoch. Most heartbeats change nothing, and
     * bids are computed again only after a change.
     */
    private HeartbeatReply acknowledge(long now, MachineView machine, OwnedPartition owned, WorkerHeartbeat heartbeat) {
        machine.fencing.onTokenSeen(heartbeat.fencingToken());
        machine.fencing.clearStartsInReply();
        boolean couldBid = bids.mayBid(now, machine);
        boolean isUnchanged = machine.lastHeartbeat != null && machine.lastHeartbeat.hasSameContentAs(heartbeat);
        intake.accept(now, machine, heartbeat);
        termination.proveTerminated(machine, owned);
        List<WorkerCommand> commands = reconciler.commandsInReply(machine, owned);
        machine.acknowledgedAt = now;
        probes.probeUnlessAnswered(now, machine);
        machine.needsReconcile = false;
        machine.hasPendingWork = !commands.isEmpty() || machine.commandInFlight || machine.isUnreachable();
        status.publish(now, machine, owned);
        intake.updateEstimate(now, machine);
        if (!isUnchanged || couldBid != bids.mayBid(now, machine)) {
            bids.markStale();
        }
        return new HeartbeatReply.Acknowledge(machine.fencing.token(), commands);
    }

    /** Handles the answer to a direct command. {@code machine} is null if it is no longer known. */
    void onCommandAnswer(long now, MachineView machine, WorkerHeartbeat heartbeat) {
        reachability.onReachable(now);
        if (!reconciler.endCommand(machine)) {
            return;
        }
        machine.hasAnswered = true;
        if (machine.isFresh(heartbeat)) {
            intake.accept(now, machine, heartbeat);
        }
        OwnedPartition owned = leases.owned(machine.partition);
        if (owned != null) {
            status.publish(now, machine, owned);
        }
    }

    /**
     * Handles the answer to a probe. It updates no machine if this controller no longer owns the partition or the worker has seen
     * a newer term.
     */
    void onProbeAnswer(long now, WorkerHeartbeat heartbeat) {
        reachability.onReachable(now);
        String partition = partitions.partitionOf(heartbeat.machine(), heartbeat.zone());
        OwnedPartition owned = leases.owned(partition);
        if (owned == null || FencingTokens.partitionTermOf(heartbeat.fencingToken()) > owned.term()) {
            return;
        }
        MachineView machine = viewOf(heartbeat.machine(), partition, owned);
        machine.hasAnswered = true;
        machine.needsReconcile = true;
        if (machine.isFresh(heartbeat)) {
            machine.fencing.onTokenSeen(heartbeat.fencingToken());
            intake.accept(now, machine, heartbeat);
            status.publish(now, machine, owned);
        }
    }

    private MachineView viewOf(String machine, String partition, OwnedPartition owned) {
        return machines.computeIfAbsent(machine, id -> new MachineView(id, partition, owned.term()));
    }
}

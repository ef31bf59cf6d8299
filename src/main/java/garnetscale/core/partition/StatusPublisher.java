package garnetscale.core.partition;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.machine.Placement;
import garnetscale.core.machine.TaskStatus;
import garnetscale.core.machine.WorkerHeartbeat;
import garnetscale.core.state.StateReplica;
import java.util.List;

/**
 * Publishes the status of machines to the leader when it changes. Publishes it again while the leader hasn't acted on exits
 * or termination proofs in it, since the first message may have been lost with its connection, and at a longer interval in any
 * case, since the leader may have dropped the message: nothing shows an owner whether the leader has accepted a status.
 */
final class StatusPublisher {

    /** How long the leader has to act on an exit or a termination proof before the status is published again. */
    private static final long REPUBLISH_MS = 2000;
    /**
     * Heartbeat intervals after which an unchanged status is published again. The time is shorter than a worker lease, so that a
     * new leader learns of each machine before it may take the machine for dead and delete it.
     */
    static final int REFRESH_HEARTBEATS = 4;

    private final SchedulerConfig config;
    private final StateReplica replica;
    private final PartitionLeases leases;
    private final List<OwnerEffect> effects;

    StatusPublisher(SchedulerConfig config, StateReplica replica, PartitionLeases leases, List<OwnerEffect> effects) {
        this.config = config;
        this.replica = replica;
        this.leases = leases;
        this.effects = effects;
    }

    /**
     * Publishes the machine's status if that is due. Nothing is published for a machine that has neither a heartbeat nor
     * terminated attempts.
     */
    void publish(long now, MachineView machine, OwnedPartition owned) {
        if (machine.lastHeartbeat == null && machine.terminatedAttempts.isEmpty()) {
            return;
        }
        MachineStatus status = status(now, machine, owned);
        boolean awaitsLeader = !status.terminated().isEmpty() || hasExitedPlacement(machine);
        machine.hasPendingWork |= awaitsLeader;
        long publishedMsAgo = now - machine.publishedAt;
        if (!status.equals(machine.publishedStatus)
                || awaitsLeader && publishedMsAgo > REPUBLISH_MS
                || publishedMsAgo >= REFRESH_HEARTBEATS * config.heartbeatIntervalMs()) {
            machine.publishedStatus = status;
            machine.publishedAt = now;
            effects.add(new OwnerEffect.PublishStatus(status));
        }
    }

    private boolean hasExitedPlacement(MachineView machine) {
        if (machine.lastHeartbeat == null) {
            return false;
        }
        for (Placement placement : replica.placements(machine.id)) {
            TaskStatus task = machine.lastHeartbeat.find(placement.attempt());
            if (task != null && task.exited()) {
                return true;
            }
        }
        return false;
    }

    private MachineStatus status(long now, MachineView machine, OwnedPartition owned) {
        WorkerHeartbeat heartbeat = machine.lastHeartbeat;
        if (heartbeat == null) {
            return statusWithoutHeartbeat(machine, owned);
        }
        boolean isSilent = machine.isSilent(now, config.heartbeatIntervalMs())
                || !machine.hasLiveEpoch()
                || !machine.hasAnswered
                || machine.isUnreachable();
        return new MachineStatus(
                config.self(),
                leases.incarnation(),
                machine.partition,
                owned.term(),
                machine.id,
                heartbeat.address(),
                heartbeat.type(),
                heartbeat.zone(),
                heartbeat.spot(),
                heartbeat.agentEpoch(),
                heartbeat.evictionNoticeS(),
                isSilent,
                heartbeat.tasks(),
                List.copyOf(machine.terminatedAttempts));
    }

    private MachineStatus statusWithoutHeartbeat(MachineView machine, OwnedPartition owned) {
        return new MachineStatus(
                config.self(),
                leases.incarnation(),
                machine.partition,
                owned.term(),
                machine.id,
                "",
                "",
                "",
                false,
                0,
                null,
                true,
                List.of(),
                List.copyOf(machine.terminatedAttempts));
    }
}

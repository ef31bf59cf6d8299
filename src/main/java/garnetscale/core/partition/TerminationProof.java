package garnetscale.core.partition;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.machine.Placement;
import garnetscale.core.state.StateReplica;
import java.util.HashSet;
import java.util.Set;

/**
 * Proves that attempts which are placed on a machine don't run there and never will, so that the leader may free their
 * placements. The absence of an attempt alone proves nothing (docs/design.md, "Safety").
 */
final class TerminationProof {

    private final SchedulerConfig config;
    private final StateReplica replica;
    private final DesiredPlacements desired;

    TerminationProof(SchedulerConfig config, StateReplica replica, DesiredPlacements desired) {
        this.config = config;
        this.replica = replica;
        this.desired = desired;
    }

    /**
     * Updates the machine's terminated attempts. Two kinds of placement are proven terminated: those of an ended agent epoch, and
     * those that are no longer desired, are missing in the newest heartbeat and have no start that may still arrive.
     */
    void proveTerminated(MachineView machine, OwnedPartition owned) {
        Set<Long> attempts = new HashSet<>();
        for (Placement placement : replica.placements(machine.id)) {
            attempts.add(placement.attempt());
            if (isOfEndedEpoch(machine, placement) || isStoppedPermanently(machine, owned, placement)) {
                machine.terminatedAttempts.add(placement.attempt());
            }
        }
        machine.terminatedAttempts.retainAll(attempts);
    }

    private static boolean isOfEndedEpoch(MachineView machine, Placement placement) {
        return placement.agentEpoch() <= machine.expiredEpoch
                || machine.lastHeartbeat != null && placement.agentEpoch() < machine.lastHeartbeat.agentEpoch();
    }

    private boolean isStoppedPermanently(MachineView machine, OwnedPartition owned, Placement placement) {
        return machine.lastHeartbeat != null
                && placement.agentEpoch() == machine.lastHeartbeat.agentEpoch()
                && !desired.isDesired(placement)
                && machine.lastHeartbeat.find(placement.attempt()) == null
                && machine.fencing.isStartSuperseded(
                        placement.attempt(), machine.lastHeartbeat.fencingToken(), owned.term());
    }

    /**
     * Expires the agent epoch of a machine once its worker can no longer hold a lease: for at least the length of a worker lease,
     * no controller can have acknowledged one of its heartbeats. Until the worker has shown a token of this term, an earlier
     * owner may have acknowledged its heartbeats throughout that owner's grace period; the wait is longer by this period.
     */
    void expire(long now, MachineView machine, OwnedPartition owned) {
        if (now <= leaseEnd(machine, owned)) {
            return;
        }
        if (machine.lastHeartbeat == null) {
            // No heartbeat has arrived since this term began, so the machine's current epoch is unknown. Each stored
            // placement is of that epoch or an older one, and all these epochs have ended.
            for (Placement placement : replica.placements(machine.id)) {
                machine.terminatedAttempts.add(placement.attempt());
            }
        } else {
            machine.expiredEpoch = Math.max(machine.expiredEpoch, machine.lastHeartbeat.agentEpoch());
        }
    }

    /** Returns the latest time at which the worker may still hold a lease. */
    private long leaseEnd(MachineView machine, OwnedPartition owned) {
        return machine.tokenSeenAt >= 0
                ? Math.max(machine.acknowledgedAt, machine.tokenSeenAt) + config.workerExpiryMs()
                : Math.max(owned.since() + config.fencingDelayMs(), machine.acknowledgedAt + config.workerExpiryMs());
    }
}

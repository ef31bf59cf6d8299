package garnetscale.core.partition;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.machine.Placement;
import garnetscale.core.state.StateReplica;
import java.util.HashSet;
import java.util.Set;

/**
 * Proves that attempts which are placed on a machine don't run there and never will, so that the leader may free their
 * placements. Absence alone proves nothing (docs/design.md, "Safety").
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
     * Brings the machine's terminated attempts up to date. Proved are placements of an earlier agent epoch, and those no
     * longer desired that the newest heartbeat lacks while no start of them is still on its way.
     */
    void proveTerminated(MachineView machine, OwnedPartition owned) {
        Set<Long> attempts = new HashSet<>();
        for (Placement placement : replica.placements(machine.id)) {
            attempts.add(placement.attempt());
            if (isOfEndedEpoch(machine, placement) || isStoppedForGood(machine, owned, placement)) {
                machine.terminatedAttempts.add(placement.attempt());
            }
        }
        machine.terminatedAttempts.retainAll(attempts);
    }

    private static boolean isOfEndedEpoch(MachineView machine, Placement placement) {
        return placement.agentEpoch() <= machine.expiredEpoch
                || machine.lastHeartbeat != null && placement.agentEpoch() < machine.lastHeartbeat.agentEpoch();
    }

    private boolean isStoppedForGood(MachineView machine, OwnedPartition owned, Placement placement) {
        return machine.lastHeartbeat != null
                && placement.agentEpoch() == machine.lastHeartbeat.agentEpoch()
                && !desired.isDesired(placement)
                && machine.lastHeartbeat.find(placement.attempt()) == null
                && machine.fencing.isStartSuperseded(
                        placement.attempt(), machine.lastHeartbeat.fencingToken(), owned.term());
    }

    /**
     * Expires the agent epoch of a machine that can't have been acknowledged for its whole lease. Until the worker has shown
     * a token of this term an earlier owner may have acknowledged it for the grace, hence the longer time.
     */
    void expire(long now, MachineView machine, OwnedPartition owned) {
        if (now <= leaseEnd(machine, owned)) {
            return;
        }
        if (machine.lastHeartbeat == null) {
            // Silent since this term began: whatever its epoch is, the stored placements are of that one or older.
            for (Placement placement : replica.placements(machine.id)) {
                machine.terminatedAttempts.add(placement.attempt());
            }
        } else {
            machine.expiredEpoch = Math.max(machine.expiredEpoch, machine.lastHeartbeat.agentEpoch());
        }
    }

    /** The latest time at which the worker may still have a lease. */
    private long leaseEnd(MachineView machine, OwnedPartition owned) {
        return machine.tokenSeenAt >= 0
                ? Math.max(machine.acknowledgedAt, machine.tokenSeenAt) + config.workerExpiryMs()
                : Math.max(owned.since() + config.fencingDelayMs(), machine.acknowledgedAt + config.workerExpiryMs());
    }
}

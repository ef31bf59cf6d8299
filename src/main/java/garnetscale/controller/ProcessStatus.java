package garnetscale.controller;

import garnetscale.core.partition.PartitionOwner;
import garnetscale.core.state.JobView;
import garnetscale.core.state.StateReplica;

/** The status of this process for health checks, operators and users. Only reads. Confined to the event loop. */
final class ProcessStatus {

    private final StateReplica replica;
    private final PartitionOwner owner;
    private final StateLink state;
    private final PeerHeartbeats peerHeartbeats;

    ProcessStatus(StateReplica replica, PartitionOwner owner, StateLink state, PeerHeartbeats peerHeartbeats) {
        this.replica = replica;
        this.owner = owner;
        this.state = state;
        this.peerHeartbeats = peerHeartbeats;
    }

    /**
     * Returns whether this process takes requests: it knows the machine types and reaches the state service. If no controller
     * reaches the state service, becoming unready would only delay the recovery; so a process that doesn't reach it stays ready
     * unless a peer does.
     */
    boolean ready() {
        if (!replica.isLoaded() || replica.types().isEmpty()) {
            return false;
        }
        return PeerHeartbeats.reachesState(state.ageMs()) || !peerHeartbeats.anyReachesState(EventLoopPacer.now());
    }

    /** Returns the state of this process as operators see it. */
    ClusterInspector.ProcessView view() {
        return new ClusterInspector.ProcessView(ready(), state.ageMs(), state.rateLimits());
    }

    /** Returns why tasks of a job wait, for its user, or null when none does. */
    String waitingReason(JobView job) {
        if (job.unstartedCount() == 0) {
            return null;
        }
        if (owner.isQuarantined(job.spec().id())) {
            return "its tasks fail on every machine; they are tried ever more rarely";
        }
        return job.unstartedCount() + " of " + job.spec().tasks() + " tasks wait for room";
    }
}

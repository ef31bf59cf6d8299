package garnetscale.controller;

import garnetscale.core.partition.PartitionOwner;
import garnetscale.core.state.JobView;
import garnetscale.core.state.StateReplica;

/** What this process tells health checks, operators and users of itself. Changes nothing. Lives on the event loop. */
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
     * Whether this process takes requests: it knows the machine types and reaches the state service. In an outage of that for
     * all, going out of service would only delay the return, so it stays in unless a peer does better.
     */
    boolean ready() {
        if (!replica.isLoaded() || replica.types().isEmpty()) {
            return false;
        }
        return PeerHeartbeats.reachesState(state.ageMs()) || !peerHeartbeats.anyReachesState(EventLoopPacer.now());
    }

    /** What operators are shown of this process. */
    ClusterInspector.ProcessView view() {
        return new ClusterInspector.ProcessView(ready(), state.ageMs(), state.rateLimits());
    }

    /** Why tasks of a job wait, for its user; null when none does. */
    String waitingReason(JobView job) {
        if (job.unstartedCount() == 0) {
            return null;
        }
        if (owner.isSuspect(job.spec().id())) {
            return "its tasks fail on every machine; they are tried ever more rarely";
        }
        return job.unstartedCount() + " of " + job.spec().tasks() + " tasks wait for room";
    }
}

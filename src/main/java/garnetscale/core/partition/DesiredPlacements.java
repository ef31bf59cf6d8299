package garnetscale.core.partition;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.machine.Placement;
import garnetscale.core.state.JobView;
import garnetscale.core.state.StateReplica;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/** Which stored placements are still to run, by the replica and by what peers say has been cancelled. */
final class DesiredPlacements {

    private final SchedulerConfig config;
    private final StateReplica replica;
    private final Map<String, MachineView> machines;
    /** Jobs that a peer says are cancelled; the replica may not show that while this process is cut off. Oldest first. */
    private final Set<String> cancelledByPeers = new LinkedHashSet<>();

    /** {@code machines} is shared; this class marks those that run a cancelled job. */
    DesiredPlacements(SchedulerConfig config, StateReplica replica, Map<String, MachineView> machines) {
        this.config = config;
        this.replica = replica;
        this.machines = machines;
    }

    /** Whether the placement's task is to run: its job is live and nobody wants the attempt stopped. */
    boolean isDesired(Placement placement) {
        JobView job = replica.job(placement.task().job());
        return job != null
                && job.isLive()
                && !cancelledByPeers.contains(placement.task().job())
                && placement.stop() == Placement.Stop.KEEP
                && !job.isFinished(placement.task().index());
    }

    /**
     * A peer has cancelled a job for its user. A cancelled job stays cancelled, so the peer's word is enough. As many
     * cancellations are remembered as {@link SchedulerConfig#maxRememberedCancellations} says, the newest.
     */
    void onCancelled(String job) {
        for (MachineView machine : machines.values()) {
            for (Placement placement : replica.placements(machine.id)) {
                machine.needsReconcile |= placement.task().job().equals(job);
            }
        }
        cancelledByPeers.add(job);
        if (cancelledByPeers.size() > config.maxRememberedCancellations()) {
            Iterator<String> oldest = cancelledByPeers.iterator();
            oldest.next();
            oldest.remove();
        }
    }
}

package garnetscale.core.partition;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.machine.Placement;
import garnetscale.core.state.JobView;
import garnetscale.core.state.StateReplica;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/** Decides which stored placements are to run, from the replica and from the cancellations that peers report. */
final class DesiredPlacements {

    private final SchedulerConfig config;
    private final StateReplica replica;
    private final Map<String, MachineView> machines;
    /**
     * Jobs that peers reported as cancelled, oldest report first. The replica may not show a cancellation while this process
     * is cut off from the state service.
     */
    private final Set<String> cancelledByPeers = new LinkedHashSet<>();

    /** {@code machines} is shared; this class marks machines for reconciliation if a cancelled job is placed on them. */
    DesiredPlacements(SchedulerConfig config, StateReplica replica, Map<String, MachineView> machines) {
        this.config = config;
        this.replica = replica;
        this.machines = machines;
    }

    /**
     * Whether the placement's task is to run: its job is live, the task isn't finished, and neither the leader nor a peer's
     * cancellation asks for the attempt to be stopped.
     */
    boolean isDesired(Placement placement) {
        JobView job = replica.job(placement.task().job());
        return job != null
                && job.isLive()
                && !cancelledByPeers.contains(placement.task().job())
                && placement.stop() == Placement.Stop.KEEP
                && !job.isFinished(placement.task().index());
    }

    /**
     * Handles a peer's report that a user cancelled a job. A cancelled job stays cancelled, so the report needs no
     * confirmation. Only the newest reports are kept, {@link SchedulerConfig#maxRememberedCancellations} of them.
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

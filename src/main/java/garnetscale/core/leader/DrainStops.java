package garnetscale.core.leader;

import garnetscale.core.bidding.Estimator;
import garnetscale.core.job.JobSpec;
import garnetscale.core.machine.Placement;
import garnetscale.core.state.JobView;
import garnetscale.core.state.StateReplica;
import java.util.function.Consumer;

/**
 * Drains machines with an eviction notice. A task that would not finish in time is stopped: if it writes checkpoints, it writes
 * one while there is still time; otherwise it starts again elsewhere at once. A task that will finish in time is left running.
 */
final class DrainStops {

    /**
     * A task counts as lost only if it needs more than this many times the seconds that are left, because estimates are rough.
     */
    private static final double LOST_RATIO = 1.3;
    /** Factor on the time that a job declares for writing a checkpoint, because writing may take longer. */
    private static final double CHECKPOINT_SLACK = 1.5;
    /** A task that writes checkpoints is stopped once the time left is less than this many times the duration of its stop. */
    private static final double STOP_AHEAD_RATIO = 2;

    private final StateReplica replica;
    private final Estimator estimator;
    private final long heartbeatIntervalMs;
    private final Consumer<String> log;

    DrainStops(LeaderContext context) {
        this.replica = context.replica();
        this.estimator = context.estimator();
        this.heartbeatIntervalMs = context.config().heartbeatIntervalMs();
        this.log = context.log();
    }

    /** Adds due stops to the cycle's draft. */
    void plan(SchedulingCycle cycle) {
        for (MachineState machine : cycle.machines()) {
            if (machine.status.evictionNoticeS() != null && !machine.status.silent()) {
                drain(cycle, machine);
            }
        }
    }

    private void drain(SchedulingCycle cycle, MachineState machine) {
        double leftS = machine.status.evictionNoticeS() - cycle.secondsSince(machine.statusAt);
        for (Placement placement : replica.placements(machine.id)) {
            JobView job = replica.job(placement.task().job());
            if (job == null
                    || !job.isLive()
                    || placement.stop() != Placement.Stop.KEEP
                    || !cycle.draft().hasRoomForChange()) {
                continue;
            }
            JobSpec spec = job.spec();
            boolean isLost = remainingS(cycle, machine, placement, spec) > leftS * LOST_RATIO;
            if (isLost && (!spec.writesCheckpoints() || leftS < STOP_AHEAD_RATIO * stopS(spec, heartbeatIntervalMs))) {
                boolean writesCheckpoint = spec.writesCheckpoints() && leftS > spec.checkpointWriteS();
                Placement.Stop stop = writesCheckpoint ? Placement.Stop.CHECKPOINT : Placement.Stop.NOW;
                cycle.draft().stop(machine.id, placement, stop);
                log.accept("stopping task: its machine is about to be evicted, task=" + placement.task() + " machine="
                        + machine.id + " eviction_in_s=" + Math.round(leftS));
            }
        }
    }

    private double remainingS(SchedulingCycle cycle, MachineState machine, Placement placement, JobSpec job) {
        Long since = machine.runningSince.get(placement.attempt());
        return since == null
                ? estimator.runTimeS(job, machine.id)
                : estimator.remainingS(job, machine.id, cycle.secondsSince(since));
    }

    /**
     * Returns the seconds until a stop that is decided now has freed the task's capacity. They cover the owner's command, the
     * checkpoint if the job writes any, and the heartbeat that proves the exit.
     */
    static double stopS(JobSpec job, long heartbeatIntervalMs) {
        double checkpointS = job.writesCheckpoints() ? job.checkpointWriteS() * CHECKPOINT_SLACK + 1 : 0;
        return checkpointS + heartbeatIntervalMs / 1000.0;
    }
}

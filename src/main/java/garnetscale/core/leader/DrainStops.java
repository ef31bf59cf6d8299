package garnetscale.core.leader;

import garnetscale.core.bidding.Estimator;
import garnetscale.core.job.JobSpec;
import garnetscale.core.machine.Placement;
import garnetscale.core.state.JobView;
import garnetscale.core.state.StateReplica;
import java.util.function.Consumer;

/**
 * Stops work on machines that the cloud takes away: what can save does so while there is time, what would not be finished
 * starts again elsewhere at once, and what will be finished is left to.
 */
final class DrainStops {

    /** Estimates are rough: a task is given up for lost only when it would need this many times what is left. */
    private static final double SURELY = 1.3;
    /** A save may take longer than its job says. */
    private static final double CHECKPOINT_SLACK = 1.5;

    private final StateReplica replica;
    private final Estimator estimator;
    private final double heartbeatIntervalS;
    private final Consumer<String> log;

    DrainStops(StateReplica replica, Estimator estimator, long heartbeatIntervalMs, Consumer<String> log) {
        this.replica = replica;
        this.estimator = estimator;
        this.heartbeatIntervalS = heartbeatIntervalMs / 1000.0;
        this.log = log;
    }

    void plan(SchedulingCycle turn) {
        for (MachineState machine : turn.machines()) {
            if (machine.last.evictionNoticeS() != null && !machine.last.silent()) {
                drain(turn, machine);
            }
        }
    }

    private void drain(SchedulingCycle turn, MachineState machine) {
        double left = machine.last.evictionNoticeS() - (turn.now() - machine.seen) / 1000.0;
        for (Placement placement : replica.placements(machine.id)) {
            JobView job = replica.job(placement.task().job());
            if (job == null
                    || !job.live()
                    || placement.stop() != Placement.Stop.KEEP
                    || !turn.draft().hasRoom(false)) {
                continue;
            }
            JobSpec spec = job.spec();
            double checkpointing = spec.checkpointWriteS() * CHECKPOINT_SLACK + 1 + heartbeatIntervalS;
            boolean isLost = remainingS(turn.now(), machine, placement, spec) > left * SURELY;
            if (isLost && (!spec.writesCheckpoints() || left < 2 * checkpointing)) {
                boolean saves = spec.writesCheckpoints() && left > spec.checkpointWriteS();
                turn.draft().stop(machine.id, placement, saves ? Placement.Stop.CHECKPOINT : Placement.Stop.NOW);
                log.accept("task " + placement.task() + " is stopped on " + machine.id + ", which is taken in "
                        + Math.round(left) + " s");
            }
        }
    }

    private double remainingS(long now, MachineState machine, Placement placement, JobSpec job) {
        Long since = machine.runningSince.get(placement.attempt());
        return since == null
                ? estimator.runS(job, machine.id)
                : estimator.remainingS(job, machine.id, (now - since) / 1000.0);
    }
}

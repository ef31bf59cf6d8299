package garnetscale.core.leader;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.balance.LoadSnapshot;
import garnetscale.core.balance.RunningTask;
import garnetscale.core.balance.SourceMachine;
import garnetscale.core.bidding.Estimator;
import garnetscale.core.job.JobSpec;
import garnetscale.core.machine.FreeCapacity;
import garnetscale.core.machine.MachineType;
import garnetscale.core.machine.Placement;
import garnetscale.core.state.JobView;
import garnetscale.core.state.StateReplica;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Collects the machines that tasks may be moved away from, and the tasks that run there, as input for the move planner. */
final class MoveSources {

    /**
     * Seconds that a task must run without being stopped before its start counts for its user's objectives [PROTOCOL, "How aims
     * are counted"].
     */
    private static final double MIN_RUN_FOR_START_S = 30;

    private final StateReplica replica;
    private final Estimator estimator;
    private final AwardTimes awardTimes;
    private final long heartbeatIntervalMs;
    /** Classes of jobs with an objective for the waiting time. */
    private final Set<String> classesWithWaitObjective = new HashSet<>();

    MoveSources(LeaderContext context) {
        this.replica = context.replica();
        this.estimator = context.estimator();
        this.awardTimes = context.awardTimes();
        this.heartbeatIntervalMs = context.config().heartbeatIntervalMs();
        for (SchedulerConfig.ServiceLevelObjective objective : context.config().objectives()) {
            if (objective.kind() == SchedulerConfig.ObjectiveKind.START) {
                classesWithWaitObjective.add(objective.jobClass());
            }
        }
    }

    /** Returns whether the machine is slower than its peers, but not decommissioned. */
    boolean isSlow(MachineState machine) {
        return !machine.decommissioned && estimator.machineFactor(machine.id) > 1;
    }

    /** Returns the serving machines whose load is known, with the tasks that the cycle's draft leaves running on them. */
    List<SourceMachine> machines(SchedulingCycle cycle, LoadSnapshot load) {
        List<SourceMachine> sources = new ArrayList<>();
        for (MachineState machine : cycle.machines()) {
            if (load.isKnown(machine.id) && load.machines().get(machine.id).serving()) {
                sources.add(machine(cycle, machine));
            }
        }
        return sources;
    }

    private SourceMachine machine(SchedulingCycle cycle, MachineState machine) {
        MachineType type = replica.type(machine.status.type());
        FreeCapacity free = new FreeCapacity(type);
        List<RunningTask> tasks = new ArrayList<>();
        for (Placement placement : cycle.draft().placements(machine.id)) {
            JobView job = replica.job(placement.task().job());
            if (job != null && placement.stop() == Placement.Stop.KEEP) {
                free.take(job.spec());
                tasks.add(task(cycle, machine, placement, job));
            }
        }
        return new SourceMachine(
                machine.id, LoadObserver.groupOf(machine), type, machine.status.spot(), isSlow(machine), free, tasks);
    }

    /**
     * Returns the task as the planner sees it. Its run time is counted from its award, because the heartbeat that reports its
     * start may be late or lost. Counted from that heartbeat, a task that is costly to move would look as if it had just
     * started. A task that an earlier leader placed isn't moved, because the time of its award is unknown.
     */
    private RunningTask task(SchedulingCycle cycle, MachineState machine, Placement placement, JobView job) {
        JobSpec spec = job.spec();
        Long since = machine.runningSince.get(placement.attempt());
        Long awardedAt = awardTimes.at(placement.attempt());
        double seenRunningS = since == null ? 0 : cycle.secondsSince(since);
        double maxRunS = awardedAt == null ? seenRunningS : cycle.secondsSince(awardedAt);
        boolean isStartPending =
                classesWithWaitObjective.contains(spec.jobClass()) && seenRunningS < MIN_RUN_FOR_START_S;
        return new RunningTask(
                placement.task(),
                placement.attempt(),
                spec,
                estimator.remainingS(spec, machine.id, maxRunS),
                spec.writesCheckpoints() ? seenRunningS : 0,
                DrainStops.stopS(spec, heartbeatIntervalMs),
                job.isLive() && awardedAt != null && !isStartPending);
    }
}

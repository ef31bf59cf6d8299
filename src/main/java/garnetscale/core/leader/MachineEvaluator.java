package garnetscale.core.leader;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.Times;
import garnetscale.core.bidding.Estimator;
import garnetscale.core.cluster.PartitionLease;
import garnetscale.core.job.TaskId;
import garnetscale.core.machine.ExitCause;
import garnetscale.core.machine.MachineType;
import garnetscale.core.machine.Placement;
import garnetscale.core.machine.TaskStatus;
import garnetscale.core.queue.JobQueue;
import garnetscale.core.state.JobView;
import garnetscale.core.state.StateReplica;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Decides which machines are fit for work, by how fast their tasks run and by which tasks fail on them. Cordons machines for a
 * limited time or decommissions them, and forgets machines that are silent and have no placements. {@link FailureTracker}
 * decides whether a job or task fails by its own fault.
 */
final class MachineEvaluator {

    /** Factor by which a machine must be slower than its peers to be decommissioned. */
    private static final double SLOW_FACTOR = 2.2;
    /**
     * Number of different tasks that must fail on a machine, with no task completing there in between, before the machine is
     * decommissioned. Only tasks of jobs that succeed elsewhere count.
     */
    private static final int FAILURES_TO_DECOMMISSION = 4;
    /**
     * At most one in this many machines may be decommissioned at a time. If more seem faulty, the cause is probably not the
     * machines.
     */
    private static final int MACHINES_PER_DECOMMISSIONED = 8;
    /** Maximum number of times that the cordon of a machine doubles. */
    private static final int MAX_CORDON_DOUBLINGS = 5;
    /** Worker leases after which a silent machine without placements is forgotten. */
    private static final int LEASES_TO_FORGET = 2;

    private final SchedulerConfig config;
    private final StateReplica replica;
    private final Map<String, MachineState> machines;
    private final FailureTracker failures;
    private final Estimator estimator;
    private final Consumer<String> log;

    private Set<String> jobsOnSlowMachines = Set.of();
    private long evaluatedAt = Times.NEVER;
    private boolean hasNewlyQuarantined;

    MachineEvaluator(LeaderContext context) {
        this.config = context.config();
        this.replica = context.replica();
        this.machines = context.machines();
        this.failures = context.failures();
        this.estimator = context.estimator();
        this.log = context.log();
    }

    /**
     * Ends the status of former owners, forgets silent machines and evaluates the speed of the others, at most twice per heartbeat
     * interval.
     */
    void evaluate(long now) {
        if (now - evaluatedAt >= config.heartbeatIntervalMs() / 2) {
            evaluatedAt = now;
            expireOutdated(now);
            forgetSilent(now);
            evaluateSpeed(now);
        }
    }

    /**
     * Makes machines count as silent of which only a former owner of their partition has published a status. The present owner
     * publishes each machine that it reaches, and within a worker lease each worker that is up has reached it. Without this, machines
     * that were taken by the cloud shortly before their owner crashed counted as free capacity without end.
     */
    private void expireOutdated(long now) {
        for (MachineState machine : machines.values()) {
            PartitionLease lease = replica.partition(machine.status.partition());
            if (lease == null || lease.term() <= machine.status.term()) {
                continue;
            }
            machine.onOutdated(now);
            if (now - machine.outdatedSince > config.workerLeaseMs()) {
                machine.setSilent(now);
            }
        }
    }

    /**
     * Forgets silent machines without placements. If the cloud removed a machine before this leader first received the cloud's
     * instance list, silence is the only sign of that. If such machines still counted as silent, there could be too many silent
     * machines for any of them to be deleted early.
     */
    private void forgetSilent(long now) {
        machines.values()
                .removeIf(machine -> machine.status.silent()
                        && replica.placements(machine.id).isEmpty()
                        && now - machine.silentSince > LEASES_TO_FORGET * config.workerLeaseMs());
    }

    private void evaluateSpeed(long now) {
        Set<String> jobs = new HashSet<>();
        for (MachineState machine : machines.values()) {
            List<Estimator.TaskProgress> running = runningTasks(now, machine);
            estimator.evaluate(machine.id, running);
            double factor = estimator.machineFactor(machine.id);
            if (factor > SLOW_FACTOR) {
                running.forEach(task -> jobs.add(task.job().id()));
                decommission(machine, "it is slower than its peers", " factor=" + Math.round(10 * factor) / 10.0);
            }
        }
        jobsOnSlowMachines = jobs;
    }

    private List<Estimator.TaskProgress> runningTasks(long now, MachineState machine) {
        List<Estimator.TaskProgress> running = new ArrayList<>();
        for (Placement placement : replica.placements(machine.id)) {
            Long since = machine.runningSince.get(placement.attempt());
            JobView job = replica.job(placement.task().job());
            if (since != null && job != null && job.isLive()) {
                running.add(new Estimator.TaskProgress(job.spec(), (now - since) / 1000.0));
            }
        }
        return running;
    }

    /** Decommissions a machine, unless too many are already. */
    private void decommission(MachineState machine, String reason, String details) {
        long decommissionedCount =
                machines.values().stream().filter(other -> other.decommissioned).count();
        if (!machine.decommissioned
                && decommissionedCount < Math.max(1, machines.size() / MACHINES_PER_DECOMMISSIONED)) {
            machine.decommissioned = true;
            log.accept("decommissioning machine: " + reason + ", machine=" + machine.id + details);
        }
    }

    /** Evaluates the exit of an attempt; does nothing if it was evaluated before. */
    void onExit(long now, String machineId, Placement placement, TaskStatus status) {
        if (!failures.isFirstEvaluation(placement.attempt())) {
            return;
        }
        MachineState machine = machines.get(machineId);
        if (status.cause() == ExitCause.DONE) {
            failures.recordCompletion(placement.task());
            if (machine != null) {
                machine.failedTasks.clear();
                machine.consecutiveCordons = 0;
            }
            return;
        }
        log.accept("task ended early, task=" + placement.task() + " machine=" + machineId + " cause=" + status.cause()
                + " checkpointed=" + status.checkpointed());
        if (machine == null) {
            return;
        }
        switch (status.cause()) {
            case ERROR, UNKNOWN_TASK -> onFailure(now, machine, placement.task());
            case NO_ROOM, BUSY, OTHER ->
                machine.cordonedUntil = Math.max(machine.cordonedUntil, now + config.heartbeatIntervalMs());
            default -> {}
        }
    }

    private void onFailure(long now, MachineState machine, TaskId task) {
        JobView job = replica.job(task.job());
        if (job != null && job.finishedCount() > 0) {
            failures.recordCompletion(task.job());
        }
        boolean wasQuarantined = failures.isQuarantined(task);
        if (!failures.recordFailure(now, task, machine.id, fittingMachines(job))) {
            recordMachineFailure(now, machine, task);
        } else if (!wasQuarantined) {
            log.accept("quarantined job: it fails on every machine and is retried rarely, job=" + task.job() + " task="
                    + task + " machine=" + machine.id);
            machines.values().forEach(this::uncordon);
            hasNewlyQuarantined = true;
        }
    }

    /** Returns the number of available machines that the job fits; unlimited if the job is no longer stored. */
    private int fittingMachines(JobView job) {
        if (job == null) {
            return Integer.MAX_VALUE;
        }
        int fitting = 0;
        for (MachineState machine : machines.values()) {
            MachineType type = replica.type(machine.status.type());
            boolean fits = type != null
                    && machine.isAvailable()
                    && JobQueue.allows(type, machine.status.zone(), machine.status.spot(), job.spec());
            fitting += fits ? 1 : 0;
        }
        return fitting;
    }

    /**
     * Records a failure for which the machine may be at fault. The machine is cordoned, for longer each time that a task fails
     * after a cordon has ended. It is decommissioned once several tasks have failed on it whose jobs succeed elsewhere. Tasks
     * of a job that has completed none yet don't count toward that: hundreds of tasks of a faulty submission can fail before it
     * is recognized as faulty.
     */
    private void recordMachineFailure(long now, MachineState machine, TaskId task) {
        machine.failedTasks.add(task);
        if (now >= machine.cordonedUntil) {
            machine.consecutiveCordons++;
            long intervals = 1L << Math.min(MAX_CORDON_DOUBLINGS, machine.consecutiveCordons);
            machine.cordonedUntil = now + Math.min(Times.MAX_HOLD_BACK_MS, intervals * config.heartbeatIntervalMs());
        }
        long failedTasksOfSuccessfulJobs = machine.failedTasks.stream()
                .filter(failed -> failures.hasCompletedTasks(failed.job()))
                .count();
        if (failedTasksOfSuccessfulJobs >= FAILURES_TO_DECOMMISSION) {
            decommission(machine, "tasks of jobs that succeed elsewhere fail on it", "");
        }
    }

    /** Discards failures of tasks that turned out to fail on every machine. If no other failures are left, ends the cordon. */
    private void uncordon(MachineState machine) {
        if (machine.failedTasks.removeIf(failures::isQuarantined) && machine.failedTasks.isEmpty()) {
            machine.consecutiveCordons = 0;
            machine.cordonedUntil = Times.NEVER;
        }
    }

    /** Returns the jobs with tasks on machines that were slow when speed was last evaluated. */
    Set<String> jobsOnSlowMachines() {
        return jobsOnSlowMachines;
    }

    /** Returns whether jobs or tasks have been quarantined since the last call of this method. */
    boolean takeNewlyQuarantined() {
        boolean result = hasNewlyQuarantined;
        hasNewlyQuarantined = false;
        return result;
    }

    /** Returns decommissioned machines without placements. */
    List<String> emptyDecommissioned() {
        List<String> ids = new ArrayList<>();
        for (MachineState machine : machines.values()) {
            if (machine.decommissioned && replica.placements(machine.id).isEmpty()) {
                ids.add(machine.id);
            }
        }
        return ids;
    }
}

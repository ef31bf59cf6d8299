package garnetscale.core.partition;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.bidding.Estimator;
import garnetscale.core.machine.ExitCause;
import garnetscale.core.machine.TaskState;
import garnetscale.core.machine.TaskStatus;
import garnetscale.core.machine.WorkerHeartbeat;
import garnetscale.core.state.JobView;
import garnetscale.core.state.StateReplica;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Applies a worker's heartbeat to the view of its machine: run times for the estimates, task failures, and what the heartbeat
 * proves about fencing tokens. Cordons a machine for a while when tasks of several jobs fail on it.
 */
final class HeartbeatIntake {

    /** Duration of a cordon, in heartbeat intervals. */
    private static final int CORDON_HEARTBEATS = 8;
    /**
     * Number of jobs that may fail on a machine before it is cordoned; a single job may have been submitted with a mistake.
     */
    private static final int MAX_FAILED_JOBS = 1;

    private final SchedulerConfig config;
    private final StateReplica replica;
    private final Estimator estimator;
    private final Map<String, MachineView> machines;
    /** Jobs that the leader, which receives the status of all machines, has quarantined: they fail on every machine. */
    private final Set<String> quarantinedJobs = new HashSet<>();

    /** {@code machines} is shared; this class uncordons machines in it. */
    HeartbeatIntake(
            SchedulerConfig config, StateReplica replica, Estimator estimator, Map<String, MachineView> machines) {
        this.config = config;
        this.replica = replica;
        this.estimator = estimator;
        this.machines = machines;
    }

    /** Returns the quarantined jobs, as a live set that callers must not modify. */
    Set<String> quarantinedJobs() {
        return quarantinedJobs;
    }

    /** Replaces the quarantined jobs, and uncordons the machines that were cordoned because of these jobs. */
    void onQuarantinedJobs(List<String> jobs) {
        quarantinedJobs.clear();
        quarantinedJobs.addAll(jobs);
        machines.values().forEach(this::uncordon);
    }

    /**
     * Removes failures of quarantined jobs from the machine, and its cordon if too few failed jobs remain to justify it. A job
     * is quarantined only after its failures have been counted.
     */
    private void uncordon(MachineView machine) {
        if (machine.failedJobs.removeAll(quarantinedJobs) && machine.failedJobs.size() <= MAX_FAILED_JOBS) {
            machine.cordonedUntil = MachineView.NOT_CORDONED;
            machine.needsReconcile = true;
        }
    }

    /** Applies a heartbeat for which {@link MachineView#isFresh} holds, and makes it the machine's last one. */
    void accept(long now, MachineView machine, WorkerHeartbeat heartbeat) {
        if (machine.lastHeartbeat != null && heartbeat.agentEpoch() > machine.lastHeartbeat.agentEpoch()) {
            beginEpoch(now, machine);
        }
        Set<Long> attempts = new HashSet<>();
        for (TaskStatus task : heartbeat.tasks()) {
            attempts.add(task.attempt());
            accept(now, machine, task);
        }
        machine.runningSince.keySet().retainAll(attempts);
        machine.failedAttempts.retainAll(attempts);
        machine.fencing.dropSupersededStarts(heartbeat.fencingToken());
        machine.stopsSentAt.keySet().retainAll(attempts);
        machine.lastHeartbeat = heartbeat;
        if (machine.tokenSeenAt < 0 && machine.fencing.isOfCurrentTerm(heartbeat.fencingToken())) {
            // The worker got the token from an acknowledgement or a command of this term, so this owner reaches it.
            machine.tokenSeenAt = now;
            machine.hasAnswered = true;
        }
        machine.lastHeartbeatAt = now;
    }

    private static void beginEpoch(long now, MachineView machine) {
        machine.runningSince.clear();
        machine.fencing.clearStartsInReply();
        // A new agent epoch has a full lease of its own. Without this line, a machine whose new epoch was first seen in
        // the answer to a command counted as terminated when the old epoch's lease ended, and its tasks ran twice.
        machine.acknowledgedAt = now;
    }

    private void accept(long now, MachineView machine, TaskStatus task) {
        if (task.state() == TaskState.RUNNING) {
            machine.runningSince.putIfAbsent(task.attempt(), now);
        } else if (task.cause() == ExitCause.ERROR) {
            recordFailure(now, machine, task);
        } else if (task.exited() && task.cause() == ExitCause.DONE) {
            recordCompletion(now, machine, task);
        }
    }

    /**
     * Records a failed task and cordons the machine if tasks of more than {@link #MAX_FAILED_JOBS} jobs failed on it. A
     * machine whose tasks fail as soon as they start always has free capacity and the image. Without a cordon, its bids would
     * be the only ones. Failures of one job alone say nothing about the machine.
     */
    private void recordFailure(long now, MachineView machine, TaskStatus task) {
        boolean isQuarantined = quarantinedJobs.contains(task.task().job());
        if (!isQuarantined) {
            machine.failedJobs.add(task.task().job());
        }
        if (machine.failedAttempts.add(task.attempt())
                && !isQuarantined
                && machine.failedJobs.size() > MAX_FAILED_JOBS) {
            machine.cordonedUntil = now + CORDON_HEARTBEATS * config.heartbeatIntervalMs();
        }
    }

    private void recordCompletion(long now, MachineView machine, TaskStatus task) {
        JobView job = replica.job(task.task().job());
        Long since = machine.runningSince.remove(task.attempt());
        machine.failedJobs.clear();
        if (since != null && job != null) {
            estimator.onTaskCompleted(job.spec(), machine.id, (now - since) / 1000.0);
        }
    }

    /**
     * Updates the estimate of the machine's speed from the tasks that run on it now. The machine must have sent a heartbeat.
     */
    void updateEstimate(long now, MachineView machine) {
        List<Estimator.TaskProgress> running = new ArrayList<>();
        for (Map.Entry<Long, Long> entry : machine.runningSince.entrySet()) {
            TaskStatus task = machine.lastHeartbeat.find(entry.getKey());
            JobView job = task == null ? null : replica.job(task.task().job());
            if (job != null && !task.exited()) {
                running.add(new Estimator.TaskProgress(job.spec(), (now - entry.getValue()) / 1000.0));
            }
        }
        estimator.evaluate(machine.id, running);
    }
}

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
 * Takes a worker's heartbeat into the view of its machine: run times for the estimates, failures of tasks, and what the
 * heartbeat proves about fencing tokens. A machine on which tasks of several jobs fail is cordoned for a while.
 */
final class HeartbeatIntake {

    /** How long a machine is cordoned, in heartbeat intervals. */
    private static final int CORDON_HEARTBEATS = 8;
    /** Jobs that must fail on a machine before it is cordoned; one may have been submitted with a mistake. */
    private static final int MAX_FAILED_JOBS = 1;

    private final SchedulerConfig config;
    private final StateReplica replica;
    private final Estimator estimator;
    private final Map<String, MachineView> machines;
    /** Jobs that fail wherever they run, by what the leader knows of all machines. */
    private final Set<String> suspectJobs = new HashSet<>();

    /** {@code machines} is shared; this class uncordons them. */
    HeartbeatIntake(
            SchedulerConfig config, StateReplica replica, Estimator estimator, Map<String, MachineView> machines) {
        this.config = config;
        this.replica = replica;
        this.estimator = estimator;
        this.machines = machines;
    }

    /** Jobs that fail wherever they run; the set is live and not to be altered. */
    Set<String> suspectJobs() {
        return suspectJobs;
    }

    /** Replaces the jobs that fail wherever they run, and uncordons machines that only those failed on. */
    void onSuspectJobs(List<String> jobs) {
        suspectJobs.clear();
        suspectJobs.addAll(jobs);
        machines.values().forEach(this::uncordon);
    }

    /** Forgets failures of jobs that fail everywhere; that news comes after the failures. */
    private void uncordon(MachineView machine) {
        if (machine.failedJobs.removeAll(suspectJobs) && machine.failedJobs.size() <= MAX_FAILED_JOBS) {
            machine.cordonedUntil = MachineView.NOT_CORDONED;
            machine.needsReconcile = true;
        }
    }

    /** Takes in a heartbeat that is news for the machine; it is the machine's last one afterwards. */
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
        if (machine.tokenSeenAt < 0 && machine.fencing.isOfPresentTerm(heartbeat.fencingToken())) {
            // The worker has the token from an acknowledgement or a command of this term, so this owner reaches it.
            machine.tokenSeenAt = now;
            machine.hasAnswered = true;
        }
        machine.lastHeartbeatAt = now;
    }

    private static void beginEpoch(long now, MachineView machine) {
        machine.runningSince.clear();
        machine.fencing.clearStartsInReply();
        // A new agent epoch has a whole lease of its own. Without this a machine whose new epoch was first seen in the
        // answer to a command counted as terminated by the old one's time, and its tasks ran twice.
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
     * A machine that fails its tasks at once always has free capacity and the image, so its bids would be the only ones. Failures of
     * one job alone say nothing about the machine.
     */
    private void recordFailure(long now, MachineView machine, TaskStatus task) {
        boolean isSuspect = suspectJobs.contains(task.task().job());
        if (!isSuspect) {
            machine.failedJobs.add(task.task().job());
        }
        if (machine.failedAttempts.add(task.attempt()) && !isSuspect && machine.failedJobs.size() > MAX_FAILED_JOBS) {
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

    /** Updates the estimate of the machine's speed by what runs on it now; it must have a heartbeat. */
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

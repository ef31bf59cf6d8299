package garnetscale.core.leader;

import garnetscale.core.Times;
import garnetscale.core.bidding.Estimator;
import garnetscale.core.job.TaskId;
import garnetscale.core.machine.ExitCause;
import garnetscale.core.machine.TaskState;
import garnetscale.core.machine.TaskStatus;
import garnetscale.core.partition.MachineStatus;
import garnetscale.core.state.JobView;
import garnetscale.core.state.StateReplica;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** What the leader knows of one machine. Times are milliseconds of the steady clock. */
final class MachineState {

    final String id;
    /** What the machine's owner last published; set before anybody else sees this object. */
    MachineStatus status;
    /** When {@link #status} was received. */
    long statusAt;
    /** When the leader first heard that an attempt runs, by attempt. */
    final Map<Long, Long> runningSince = new HashMap<>();
    /** Nothing is placed here before this time: the machine rejected or failed tasks. */
    long cordonedUntil = Times.NEVER;
    /** How often it was cordoned in a row because tasks failed. */
    int consecutiveCordons;
    /** Tasks that failed here without one completing between them, except those that fail on every machine. */
    final Set<TaskId> failedTasks = new HashSet<>();
    /** To be scaled in as soon as nothing is placed on it: it is slow, or its tasks fail. */
    boolean decommissioned;

    /** A machine that nothing is known of yet; {@link #onStatus} follows at once. */
    MachineState(String id) {
        this.id = id;
    }

    /** Takes over what the owner published, and tells the estimator of tasks that completed. */
    void onStatus(long now, MachineStatus published, StateReplica replica, Estimator estimator) {
        status = published;
        statusAt = now;
        Set<Long> present = new HashSet<>();
        for (TaskStatus task : published.tasks()) {
            present.add(task.attempt());
            if (task.state() == TaskState.RUNNING) {
                runningSince.putIfAbsent(task.attempt(), now);
            } else if (task.cause() == ExitCause.DONE) {
                Long since = runningSince.remove(task.attempt());
                JobView job = replica.job(task.task().job());
                if (since != null && job != null) {
                    estimator.onTaskCompleted(job.spec(), id, (now - since) / 1000.0);
                }
            }
        }
        runningSince.keySet().retainAll(present);
    }

    /** Whether its heartbeats arrive and the cloud hasn't announced its eviction. */
    boolean isServing() {
        return !status.silent() && status.evictionNoticeS() == null;
    }

    /** Whether tasks may be placed on it: it serves, and is neither cordoned nor decommissioned. */
    boolean acceptsTasks(long now) {
        return isServing() && now >= cordonedUntil && !decommissioned;
    }
}

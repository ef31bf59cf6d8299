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
    /** Status that the machine's owner last published; set before any other object sees this one. */
    MachineStatus status;
    /** When {@link #status} was received. */
    long statusAt;
    /** Since when every status has shown the machine as silent; {@link Times#NEVER} if the newest one doesn't. */
    long silentSince = Times.NEVER;
    /** Since when the partition's lease has had a newer term than {@link #status}; {@link Times#NEVER} if it hasn't. */
    long outdatedSince = Times.NEVER;
    /** When the leader first learned that an attempt runs, by attempt. */
    final Map<Long, Long> runningSince = new HashMap<>();
    /** No task is placed here before this time, because the machine has rejected or failed tasks. */
    long cordonedUntil = Times.NEVER;
    /** Number of times in a row that the machine was cordoned because tasks failed. */
    int consecutiveCordons;
    /** Tasks that have failed here since a task last completed here, except those that fail on every machine. */
    final Set<TaskId> failedTasks = new HashSet<>();
    /** Whether the machine is scaled in as soon as it has no placements, because it is slow or its tasks fail. */
    boolean decommissioned;

    /** Creates a machine without a status; {@link #onStatus} must be called before it is used. */
    MachineState(String id) {
        this.id = id;
    }

    /** Replaces the status by the one that the owner published, and reports completed tasks to the estimator. */
    void onStatus(long now, MachineStatus published, StateReplica replica, Estimator estimator) {
        status = published;
        statusAt = now;
        outdatedSince = Times.NEVER;
        updateSilence(now);
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

    private void updateSilence(long now) {
        if (!status.silent()) {
            silentSince = Times.NEVER;
        } else if (silentSince == Times.NEVER) {
            silentSince = now;
        }
    }

    /** Records that the status is of a former owner of the partition, and that the present one hasn't published any yet. */
    void onOutdated(long now) {
        if (outdatedSince == Times.NEVER) {
            outdatedSince = now;
        }
    }

    /** Makes the machine count as silent until its owner publishes a status. */
    void setSilent(long now) {
        status = status.asSilent();
        updateSilence(now);
    }

    /** Returns whether the machine's heartbeats arrive and the cloud hasn't announced its eviction. */
    boolean isAvailable() {
        return !status.silent() && status.evictionNoticeS() == null;
    }

    /** Returns whether tasks may be placed on the machine: it is available, and neither cordoned nor decommissioned. */
    boolean acceptsTasks(long now) {
        return isAvailable() && now >= cordonedUntil && !decommissioned;
    }
}

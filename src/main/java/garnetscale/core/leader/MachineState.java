package garnetscale.core.leader;

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

/** What the leader knows of a machine; {@code seen} is when its holder last spoke of it. */
final class MachineState {

    final String id;
    MachineStatus last;
    long seen;
    /** When the leader first heard that an attempt runs. */
    final Map<Long, Long> runningSince = new HashMap<>();
    /** No awards before this time: the machine refused or failed tasks. */
    long avoidUntil = Long.MIN_VALUE;
    /** Tasks that failed here without one completing between them, as far as it isn't their own fault. */
    final Set<TaskId> failed = new HashSet<>();
    /** How often it was avoided for that in a row. */
    int avoided;
    /** To be given back as soon as nothing is on it: it fails or is slow. */
    boolean decommissioned;

    MachineState(String id) {
        this.id = id;
    }

    /** Takes a new observation; tells the estimator of tasks that completed. */
    void observe(long now, MachineStatus o, StateReplica replica, Estimator estimator) {
        last = o;
        seen = now;
        Set<Long> present = new HashSet<>();
        for (TaskStatus t : o.tasks()) {
            present.add(t.attempt());
            if (t.state() == TaskState.RUNNING) {
                runningSince.putIfAbsent(t.attempt(), now);
            } else if (t.cause() == ExitCause.DONE) {
                Long since = runningSince.remove(t.attempt());
                JobView job = replica.job(t.task().job());
                if (since != null && job != null) {
                    estimator.completed(job.spec(), id, (now - since) / 1000.0);
                }
            }
        }
        runningSince.keySet().retainAll(present);
    }
}

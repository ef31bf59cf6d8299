package garnetscale.core.lead;

import garnetscale.core.block.Observation;
import garnetscale.core.machine.ReportedTask;
import garnetscale.core.machine.TaskState;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** What the leader knows of a machine; {@code seen} is when its holder last spoke of it. */
final class MachineState {

    final String id;
    Observation last;
    long seen;
    /** When the leader first heard that an attempt runs. */
    final Map<Long, Long> runningSince = new HashMap<>();
    /** No awards before this time: the machine refused or failed tasks. */
    long avoidUntil = Long.MIN_VALUE;
    /** Failures in a row, without a completed task between them. */
    int failures;

    MachineState(String id) {
        this.id = id;
    }

    void observe(long now, Observation o) {
        last = o;
        seen = now;
        Set<Long> present = new HashSet<>();
        for (ReportedTask t : o.tasks()) {
            present.add(t.attempt());
            if (t.state() == TaskState.RUNNING) {
                runningSince.putIfAbsent(t.attempt(), now);
            }
        }
        runningSince.keySet().retainAll(present);
    }
}

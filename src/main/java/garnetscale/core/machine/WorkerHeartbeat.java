package garnetscale.core.machine;

import java.util.List;
import java.util.Objects;

/**
 * A worker's heartbeat with the status of its machine; answers to probes and direct commands have the same form.
 *
 * @param machine the machine's name
 * @param address host and port of the worker
 * @param type the name of the machine type
 * @param zone the machine's zone
 * @param spot whether the machine is a spot instance
 * @param agentEpoch starts at 1 and rises each time the worker's lease expires
 * @param tick sequence number that rises with every message of the worker
 * @param fencingToken the highest token that the worker has seen
 * @param evictionNoticeS seconds until the cloud takes the machine away; null without eviction notice
 * @param tasks all tasks on the machine; exited tasks are listed until they are cleared
 */
public record WorkerHeartbeat(
        String machine,
        String address,
        String type,
        String zone,
        boolean spot,
        long agentEpoch,
        long tick,
        long fencingToken,
        Double evictionNoticeS,
        List<TaskStatus> tasks) {

    /**
     * Whether this heartbeat is newer than the other one, that is, has the larger (agentEpoch, tick). The order of arrival
     * doesn't count, since messages overtake each other. Any heartbeat is newer than null.
     */
    public boolean isNewerThan(WorkerHeartbeat other) {
        return other == null || agentEpoch > other.agentEpoch || (agentEpoch == other.agentEpoch && tick > other.tick);
    }

    /** Whether the heartbeats differ in nothing but the tick and the fencing token. */
    public boolean hasSameContentAs(WorkerHeartbeat other) {
        return agentEpoch == other.agentEpoch
                && spot == other.spot
                && machine.equals(other.machine)
                && address.equals(other.address)
                && type.equals(other.type)
                && zone.equals(other.zone)
                && Objects.equals(evictionNoticeS, other.evictionNoticeS)
                && tasks.equals(other.tasks);
    }

    /** Returns the status of an attempt, or null if the attempt isn't on the machine. */
    public TaskStatus find(long attempt) {
        for (TaskStatus task : tasks) {
            if (task.attempt() == attempt) {
                return task;
            }
        }
        return null;
    }
}

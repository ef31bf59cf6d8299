package garnetscale.core.machine;

import java.util.List;
import java.util.Objects;

/** What a worker says of itself; {@code evictionNoticeS} is null unless the cloud is about to take the machine. */
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

    /** Messages overtake each other; the larger (shift, tick) is the newer one. */
    public boolean isNewerThan(WorkerHeartbeat other) {
        return other == null || agentEpoch > other.agentEpoch || (agentEpoch == other.agentEpoch && tick > other.tick);
    }

    /** Whether nothing but the count of messages and the token differs. */
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

    public TaskStatus find(long attempt) {
        for (TaskStatus t : tasks) {
            if (t.attempt() == attempt) {
                return t;
            }
        }
        return null;
    }
}

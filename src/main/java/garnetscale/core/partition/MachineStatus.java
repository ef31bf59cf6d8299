package garnetscale.core.partition;

import garnetscale.core.machine.TaskStatus;
import java.util.List;
import java.util.Objects;

/**
 * What a holder tells the leader of one machine.
 *
 * @param term   the block term that the holder speaks by; the leader drops what comes from an older one
 * @param silent no report for a while, so the machine neither bids nor counts as room
 * @param terminated   attempts that the holder has proof of that they are not on the machine and never will be
 */
public record MachineStatus(
        String node,
        long incarnation,
        String partition,
        long term,
        String machine,
        String address,
        String type,
        String zone,
        boolean spot,
        long agentEpoch,
        Double evictionNoticeS,
        boolean silent,
        List<TaskStatus> tasks,
        List<Long> terminated) {

    /** Explicit because it is on the hot path; see the package documentation of {@code garnetscale.core}. */
    @Override
    public boolean equals(Object o) {
        return o instanceof MachineStatus other
                && incarnation == other.incarnation
                && term == other.term
                && agentEpoch == other.agentEpoch
                && spot == other.spot
                && silent == other.silent
                && machine.equals(other.machine)
                && node.equals(other.node)
                && partition.equals(other.partition)
                && address.equals(other.address)
                && type.equals(other.type)
                && zone.equals(other.zone)
                && Objects.equals(evictionNoticeS, other.evictionNoticeS)
                && tasks.equals(other.tasks)
                && terminated.equals(other.terminated);
    }

    @Override
    public int hashCode() {
        return 31 * machine.hashCode() + Long.hashCode(agentEpoch);
    }
}

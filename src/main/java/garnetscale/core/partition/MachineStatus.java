package garnetscale.core.partition;

import garnetscale.core.machine.TaskStatus;
import java.util.List;
import java.util.Objects;

/**
 * The status of one machine as its partition's owner publishes it to the leader.
 *
 * @param node the name of the owner
 * @param incarnation the state lease of the owner's process
 * @param partition the partition that the machine belongs to
 * @param term the partition term that the owner acts under; the leader drops a status of an older one
 * @param machine the machine's name
 * @param address host and port of its worker; this and the type and zone are empty before its first heartbeat
 * @param type the name of its machine type
 * @param zone its zone
 * @param spot whether it is a spot instance
 * @param agentEpoch the agent epoch of its newest heartbeat, or 0
 * @param evictionNoticeS seconds until the cloud takes it away, by its newest heartbeat; null without eviction notice
 * @param silent whether it is out of reach or its heartbeat overdue, so that it neither bids nor counts as capacity
 * @param tasks tasks in its newest heartbeat
 * @param terminated placed attempts that are proved not to be on the machine now or later
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

    /** Explicit because it is on the hot path; see {@link garnetscale.core}. */
    @Override
    public boolean equals(Object object) {
        return object instanceof MachineStatus other
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

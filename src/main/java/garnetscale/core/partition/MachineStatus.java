package garnetscale.core.partition;

import garnetscale.core.machine.TaskStatus;
import java.util.List;
import java.util.Objects;

/**
 * The status of one machine as its partition's owner publishes it to the leader.
 *
 * @param node the name of the owner
 * @param incarnation the id of the session lease of the owner's process
 * @param partition the partition that the machine belongs to
 * @param term the partition term under which the owner acts; the leader drops a status of an older term
 * @param machine the machine's name
 * @param address host and port of the machine's worker; empty before the first heartbeat, like type and zone
 * @param type the name of the machine type
 * @param zone the machine's zone
 * @param spot whether the machine is a spot instance
 * @param agentEpoch the agent epoch of the newest heartbeat, or 0 before the first one
 * @param evictionNoticeS seconds from the newest heartbeat until the cloud takes the machine away; null without eviction
 *     notice
 * @param silent whether the machine's heartbeat is overdue, its agent epoch has ended, or it may be unreachable for this owner; a
 *     silent machine neither bids nor counts as capacity
 * @param tasks tasks in the newest heartbeat; empty before the first one
 * @param terminated placed attempts that are proven not to be on the machine now or later
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

    /** Returns this status with the machine as silent. */
    public MachineStatus asSilent() {
        return new MachineStatus(
                node,
                incarnation,
                partition,
                term,
                machine,
                address,
                type,
                zone,
                spot,
                agentEpoch,
                evictionNoticeS,
                true,
                tasks,
                terminated);
    }

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

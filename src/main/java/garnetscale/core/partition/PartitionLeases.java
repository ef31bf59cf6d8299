package garnetscale.core.partition;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.Times;
import garnetscale.core.cluster.PartitionLease;
import garnetscale.core.cluster.PartitionMap;
import garnetscale.core.state.StateReplica;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Follows the leases of all partitions in the replica and keeps which of them this process owns, and whether it may still act
 * for them. A new term of a partition means new fencing tokens, and nothing is known of what an earlier owner sent.
 */
final class PartitionLeases {

    private static final long NO_INCARNATION = -1;

    private final SchedulerConfig config;
    private final StateReplica replica;
    private final PartitionMap partitions;
    private final Map<String, MachineView> machines;
    private final WorkerRequestLimiter requests;
    private final Map<String, OwnedPartition> ownedPartitions = new TreeMap<>();
    private long incarnation = NO_INCARNATION;
    private long confirmedAt = Times.NEVER;

    /** {@code machines} is shared; this class removes the machines of partitions that are lost. */
    PartitionLeases(
            SchedulerConfig config,
            StateReplica replica,
            PartitionMap partitions,
            Map<String, MachineView> machines,
            WorkerRequestLimiter requests) {
        this.config = config;
        this.replica = replica;
        this.partitions = partitions;
        this.machines = machines;
        this.requests = requests;
    }

    /** The state lease that identifies this process, or -1 before the first one. */
    long incarnation() {
        return incarnation;
    }

    /** The process has a new state lease; partitions owned under an earlier one are no longer its own. */
    void onLeaseGranted(long stateLease) {
        incarnation = stateLease;
    }

    /** The replica is complete as of a request that was sent at this time. */
    void onReplicaConfirmed(long sentAt) {
        confirmedAt = Math.max(confirmedAt, sentAt);
    }

    /**
     * Whether this process may act for its partitions. An owner that is cut off from the state service goes on for the grace,
     * so that an outage kills no tasks, and no longer, since its partitions may have been given to another and a
     * cancellation may have been promised (docs/design.md, "Safety").
     */
    boolean mayAct(long now) {
        return now - confirmedAt <= config.graceMs();
    }

    /** The partition if this process owns it, else null. */
    OwnedPartition owned(String partition) {
        return ownedPartitions.get(partition);
    }

    /** Names of the partitions that this process owns. */
    Set<String> ownedNames() {
        return ownedPartitions.keySet();
    }

    /** The owned partitions with their terms, as a new map. */
    Map<String, Long> terms() {
        Map<String, Long> terms = new TreeMap<>();
        ownedPartitions.forEach((partition, owned) -> terms.put(partition, owned.term()));
        return terms;
    }

    /** Sends a worker to the owner of its partition. */
    HeartbeatReply redirect(String partition) {
        PartitionLease lease = replica.partition(partition);
        return new HeartbeatReply.Redirect(lease == null || lease.owner().equals(config.self()) ? null : lease.owner());
    }

    /**
     * Brings the owned partitions up to the replica.
     *
     * @return whether a partition was gained, also one that was lost and gained under a new term
     */
    boolean refresh(long now) {
        boolean hasGained = false;
        for (String partition : partitions.all()) {
            PartitionLease lease = replica.partition(partition);
            OwnedPartition owned = ownedPartitions.get(partition);
            boolean isOurs = isOurs(lease);
            if (owned != null && (!isOurs || owned.term() != lease.term())) {
                lose(partition);
                owned = null;
            }
            if (isOurs && owned == null) {
                ownedPartitions.put(partition, new OwnedPartition(lease.term(), now));
                hasGained = true;
            }
        }
        return hasGained;
    }

    private boolean isOurs(PartitionLease lease) {
        return lease != null && lease.owner().equals(config.self()) && lease.incarnation() == incarnation;
    }

    private void lose(String partition) {
        ownedPartitions.remove(partition);
        requests.clearQueuedProbes();
        machines.values().removeIf(machine -> machine.partition.equals(partition));
    }
}

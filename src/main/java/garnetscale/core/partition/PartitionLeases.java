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
 * Tracks the leases of all partitions in the replica: which partitions this process owns, and whether it may still act for
 * them. When the term of a partition changes, the views of its machines are dropped: a new term has fencing tokens of its own,
 * and nothing is known about what an earlier owner sent.
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

    /** {@code machines} is shared; this class removes the machines of lost partitions. */
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

    /** Returns the state lease that identifies this process; negative before the first one and after its loss. */
    long incarnation() {
        return incarnation;
    }

    /**
     * Records a new state lease of this process, or the loss of the lease. Partitions owned under an earlier state lease are no
     * longer its own.
     *
     * @param stateLease the number of the state lease, or a negative number when it is lost; then no partition is its own
     */
    void onLeaseChanged(long stateLease) {
        incarnation = stateLease;
    }

    /** Records that the replica contains everything that was stored when a request was sent at {@code sentAt}. */
    void onReplicaConfirmed(long sentAt) {
        confirmedAt = Math.max(confirmedAt, sentAt);
    }

    /**
     * Returns whether this process may act for its partitions. An owner that is cut off from the state service continues for
     * the grace period, so that an outage kills no tasks. It doesn't continue for longer, because its partitions may have
     * been assigned to another owner and a user may have been promised a cancellation (docs/design.md, "Safety").
     */
    boolean mayAct(long now) {
        return now - confirmedAt <= config.graceMs();
    }

    /** Returns the partition if this process owns it, else null. */
    OwnedPartition owned(String partition) {
        return ownedPartitions.get(partition);
    }

    /** Returns a live view of the names of the partitions that this process owns. */
    Set<String> ownedNames() {
        return ownedPartitions.keySet();
    }

    /** Returns the terms of the owned partitions by partition name, as a new map. */
    Map<String, Long> terms() {
        Map<String, Long> terms = new TreeMap<>();
        ownedPartitions.forEach((partition, owned) -> terms.put(partition, owned.term()));
        return terms;
    }

    /**
     * Returns a redirect of a worker to the owner of its partition; it names no owner if none is known or the lease names
     * this controller.
     */
    HeartbeatReply redirect(String partition) {
        PartitionLease lease = replica.partition(partition);
        return new HeartbeatReply.Redirect(lease == null || lease.owner().equals(config.self()) ? null : lease.owner());
    }

    /**
     * Updates the owned partitions from the replica.
     *
     * @return whether a partition was gained, including a partition that was lost and gained again under a new term
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

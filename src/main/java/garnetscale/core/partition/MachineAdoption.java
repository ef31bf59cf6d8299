package garnetscale.core.partition;

import garnetscale.core.cluster.PartitionMap;
import garnetscale.core.state.StateReplica;
import java.util.Map;

/**
 * Keeps a view of each machine that has placements in an owned partition, whether or not it sends heartbeats: its tasks still
 * have to be proven terminated or alive.
 */
final class MachineAdoption {

    private final StateReplica replica;
    private final PartitionMap partitions;
    private final PartitionLeases leases;
    private final WorkerProbes probes;
    private final Map<String, MachineView> machines;

    /**
     * {@code machines} is shared; this class adds machines with placements, removes machines that were scaled in, and marks
     * machines whose stored records changed.
     */
    MachineAdoption(
            StateReplica replica,
            PartitionMap partitions,
            PartitionLeases leases,
            WorkerProbes probes,
            Map<String, MachineView> machines) {
        this.replica = replica;
        this.partitions = partitions;
        this.leases = leases;
        this.probes = probes;
        this.machines = machines;
    }

    /** Marks the machines whose stored records changed since the last call, and adds those that have no view yet. */
    void applyReplicaChanges() {
        for (String id : replica.takeChangedMachines()) {
            MachineView machine = machines.get(id);
            if (machine != null) {
                machine.needsReconcile = true;
            } else {
                adopt(id);
            }
        }
    }

    /** Removes machines that no longer exist and adds all machines that have placements in an owned partition. */
    void adoptAll() {
        // Otherwise scaled-in machines would be published as silent forever, and their owner be taken for isolated.
        machines.values()
                .removeIf(machine -> !machine.hasLiveEpoch()
                        && replica.placements(machine.id).isEmpty()
                        && !probes.isInDirectory(machine.id));
        replica.machinesWithRecords().forEach(this::adopt);
    }

    /** Adds the machine if it has placements, is in an owned partition and has no view yet. */
    private void adopt(String id) {
        if (!machines.containsKey(id) && !replica.placements(id).isEmpty()) {
            String partition = partitions.partitionOf(id, replica.zoneOfMachine(id));
            OwnedPartition owned = leases.owned(partition);
            if (owned != null) {
                machines.put(id, new MachineView(id, partition, owned.term()));
            }
        }
    }
}

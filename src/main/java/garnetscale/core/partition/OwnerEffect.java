package garnetscale.core.partition;

import garnetscale.core.bidding.BidBatch;
import garnetscale.core.machine.WorkerCommand;
import java.util.List;

/** A message that a {@link PartitionOwner} wants sent; the process around the core carries it out. */
public sealed interface OwnerEffect {

    /**
     * Sends commands to a worker directly, without waiting for its next heartbeat. Its outcome goes to {@link
     * PartitionOwner#onCommandAnswer} or {@link PartitionOwner#onCommandLost}.
     */
    record SendCommands(
            String machine, String address, long fencingToken, long agentEpoch, List<WorkerCommand> commands)
            implements OwnerEffect {}

    /**
     * Requests the status of a worker; its heartbeat would come here only when the next one is due. Ends with {@link
     * PartitionOwner#onProbeEnded}, and if it is answered also with {@link PartitionOwner#onProbeAnswer}.
     */
    record ProbeWorker(String machine, String address) implements OwnerEffect {}

    /** Publishes the status of a machine to the leader. */
    record PublishStatus(MachineStatus machineStatus) implements OwnerEffect {}

    /** Submits the bids of all machines of this owner to the leader. */
    record SubmitBids(BidBatch batch) implements OwnerEffect {}
}

package garnetscale.core.partition;

import garnetscale.core.bidding.BidBatch;
import garnetscale.core.machine.WorkerCommand;
import java.util.List;

/** A message that a {@link PartitionOwner} requests to be sent; the code around the core sends it. */
public sealed interface OwnerEffect {

    /**
     * Sends commands to a worker directly, without waiting for its next heartbeat. The outcome is passed to {@link
     * PartitionOwner#onCommandAnswer} or {@link PartitionOwner#onCommandLost}.
     *
     * @param machine the machine's name
     * @param address host and port of the machine's worker
     * @param fencingToken the token under which the commands are sent
     * @param agentEpoch the agent epoch of the machine's newest heartbeat
     * @param commands commands for the worker to execute
     */
    record SendCommands(
            String machine, String address, long fencingToken, long agentEpoch, List<WorkerCommand> commands)
            implements OwnerEffect {}

    /**
     * Requests the status of a worker without waiting until its next heartbeat is due. Ends with {@link
     * PartitionOwner#onProbeEnded}, and if the probe is answered also with {@link PartitionOwner#onProbeAnswer}.
     *
     * @param machine the machine's name
     * @param address host and port of the machine's worker
     */
    record ProbeWorker(String machine, String address) implements OwnerEffect {}

    /** Publishes the status of a machine to the leader. */
    record PublishStatus(MachineStatus machineStatus) implements OwnerEffect {}

    /** Submits the bids of all machines of this owner to the leader. */
    record SubmitBids(BidBatch batch) implements OwnerEffect {}
}

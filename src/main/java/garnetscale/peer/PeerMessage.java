package garnetscale.peer;

import garnetscale.core.bidding.BidBatch;
import garnetscale.core.machine.MachineAddress;
import garnetscale.core.partition.MachineStatus;
import garnetscale.core.state.Records;
import java.util.List;

/** A message from one controller to another, or between an operator and a controller. Any message may be lost. */
public sealed interface PeerMessage {

    /**
     * A controller's proof that it is up, sent every second. It is also sent at once when the sender becomes leader, and when
     * {@code isolatedFromWorkers} changes.
     *
     * @param node                the sender's name
     * @param incarnation         the lease under which the sender is registered; -1 if it is not registered
     * @param leaderTerm          the term in which the sender is leader; -1 if it is not the leader
     * @param stateAgeMs          milliseconds since the sender sent the newest request as of which its replica is complete
     * @param isolatedFromWorkers whether no worker can reach the sender
     */
    record ControllerHeartbeat(
            String node, long incarnation, long leaderTerm, long stateAgeMs, boolean isolatedFromWorkers)
            implements PeerMessage {}

    /**
     * What every controller needs to know of machines and jobs outside its own partitions, sent by the leader.
     *
     * @param machines all machines that the cloud's instance list shows as running, in any partition
     * @param lateBidJobs ids of started jobs for which the leader accepts late bids
     * @param quarantinedJobs ids of jobs that fail on every machine they run on
     */
    record MachineDirectory(List<MachineAddress> machines, List<String> lateBidJobs, List<String> quarantinedJobs)
            implements PeerMessage {

        /** Explicit because it is on the hot path; see {@link garnetscale.core}. */
        @Override
        public boolean equals(Object object) {
            return object instanceof MachineDirectory other
                    && machines.equals(other.machines)
                    && lateBidJobs.equals(other.lateBidJobs)
                    && quarantinedJobs.equals(other.quarantinedJobs);
        }

        @Override
        public int hashCode() {
            return machines.hashCode();
        }
    }

    /** A user's cancellation of a job, which the sender has stored. */
    record JobCancelled(String job) implements PeerMessage {}

    /** A job's terminal record, sent by the leader once the record is stored. The record never changes again. */
    record JobTerminated(String job, Records.TerminalJob terminalJob) implements PeerMessage {}

    /** The status of a machine, sent by its partition's owner to the leader. */
    record MachineStatusUpdate(MachineStatus machineStatus) implements PeerMessage {}

    /** The bids of a partition owner's machines, sent to the leader. */
    record Bids(BidBatch batch) implements PeerMessage {}

    /**
     * An operator's request to a controller, sent by the command line and never by another controller.
     *
     * @param argument the job's id for {@code JOB}, the step's name for {@code UPGRADE}, otherwise empty
     */
    record OperatorRequest(Kind kind, String argument) implements PeerMessage {

        /** The kind of request; all but {@code UPGRADE} are read-only. */
        public enum Kind {
            /** Returns the controller's view of the cluster. */
            STATUS,
            /** Returns the job named by the argument. */
            JOB,
            /** Carries out the upgrade step named by the argument. */
            UPGRADE
        }
    }

    /** The answer to an {@link OperatorRequest}, in JSON. */
    record OperatorResponse(Outcome outcome, String json) implements PeerMessage {

        /** The outcome of a request. */
        public enum Outcome {
            /** The request was answered or carried out. */
            DONE,
            /** The request is being carried out; a repeated request returns {@code DONE} once it is complete. */
            UNDER_WAY,
            /** The request was refused and changed nothing; the answer gives the reason. */
            REFUSED
        }
    }
}

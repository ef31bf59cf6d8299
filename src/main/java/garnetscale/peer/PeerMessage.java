package garnetscale.peer;

import garnetscale.core.bidding.BidBatch;
import garnetscale.core.machine.MachineAddress;
import garnetscale.core.partition.MachineStatus;
import garnetscale.core.state.Records;
import java.util.List;

/** What controllers send each other, and operators send to a controller. Any of them may be lost. */
public sealed interface PeerMessage {

    /**
     * Shows that a controller is up, every second and whenever what it says has changed.
     *
     * @param node                the sender's name
     * @param incarnation         the lease that the sender is registered under, or -1
     * @param leaderTerm          the term that the sender leads under, or -1
     * @param stateAgeMs          how long ago the sender sent its last request that the state service answered
     * @param isolatedFromWorkers whether no worker reaches the sender
     */
    record ControllerHeartbeat(
            String node, long incarnation, long leaderTerm, long stateAgeMs, boolean isolatedFromWorkers)
            implements PeerMessage {}

    /**
     * What every controller must know of machines and jobs beyond its own partitions, from the leader.
     *
     * @param machines all machines that the cloud lists
     * @param lateJobs started jobs that the leader takes late bids for
     * @param suspects jobs that fail wherever they run
     */
    record MachineDirectory(List<MachineAddress> machines, List<String> lateJobs, List<String> suspects)
            implements PeerMessage {

        /** Explicit because it is on the hot path; {@link garnetscale.core} says why. */
        @Override
        public boolean equals(Object object) {
            return object instanceof MachineDirectory other
                    && machines.equals(other.machines)
                    && lateJobs.equals(other.lateJobs)
                    && suspects.equals(other.suspects);
        }

        @Override
        public int hashCode() {
            return machines.hashCode();
        }
    }

    /** A user's cancellation that the sender has stored. */
    record JobCancelled(String job) implements PeerMessage {}

    /** A job's end that the leader knows to be stored; it never changes again. */
    record JobTerminated(String job, Records.TerminalJob how) implements PeerMessage {}

    /** The status of a machine, from the owner of its partition to the leader. */
    record MachineStatusUpdate(MachineStatus machineStatus) implements PeerMessage {}

    /** The bids of an owner's machines, for the leader. */
    record Bids(BidBatch batch) implements PeerMessage {}

    /** What an operator asks a controller on the command line; no controller asks another. */
    record OperatorRequest(Kind kind, String argument) implements PeerMessage {

        /** What is asked; all but {@code UPGRADE} only read. */
        public enum Kind {
            /** The controller's view of the cluster. */
            STATUS,
            /** The job that the argument names. */
            JOB,
            /** The step that the argument names. */
            UPGRADE
        }
    }

    /** The answer to an {@link OperatorRequest}, in JSON. */
    record OperatorResponse(Outcome outcome, String json) implements PeerMessage {

        /** How the request ended. */
        public enum Outcome {
            /** Answered, or carried out. */
            DONE,
            /** It is being carried out: asked for again, it is found done. */
            UNDER_WAY,
            /** Nothing was changed; the answer says why. */
            REFUSED
        }
    }
}

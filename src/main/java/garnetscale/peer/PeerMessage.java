package garnetscale.peer;

import garnetscale.core.bidding.BidBatch;
import garnetscale.core.machine.MachineAddress;
import garnetscale.core.partition.MachineStatus;
import garnetscale.core.state.Records;
import java.util.List;

/** What controllers say to each other. */
public sealed interface PeerMessage {

    /**
     * A sign of life, every second.
     *
     * @param leaderTerm the term that the sender leads under, or -1
     * @param stateAgeMs how long ago the sender sent its last request that the state service answered
     * @param isolatedFromWorkers       whether no worker reaches the sender
     */
    record ControllerHeartbeat(
            String node, long incarnation, long leaderTerm, long stateAgeMs, boolean isolatedFromWorkers)
            implements PeerMessage {}

    /** The leader's list of machines, the started jobs that it takes late bids for, and those that fail wherever they run. */
    record MachineDirectory(List<MachineAddress> machines, List<String> lateJobs, List<String> suspects)
            implements PeerMessage {

        /** Explicit because it is on the hot path; see the package documentation of {@code garnetscale.core}. */
        @Override
        public boolean equals(Object o) {
            return o instanceof MachineDirectory other
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

    /** A job's end, which the leader knows to be stored; a fact that never changes again. */
    record JobTerminated(String job, Records.TerminalJob how) implements PeerMessage {}

    /** What a holder observes of one of its machines, for the leader. */
    record MachineStatusUpdate(MachineStatus machineStatus) implements PeerMessage {}

    /** What an operator asks a controller, on the command line; no controller asks another. */
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

        /** How the inquiry ended. */
        public enum Outcome {
            DONE,
            /** It is being carried out: asked for again, it is found done. */
            UNDER_WAY,
            /** Nothing was changed; the answer says why. */
            REFUSED
        }
    }

    /** The bids of a holder's machines, for the leader. */
    record Bids(BidBatch batch) implements PeerMessage {}
}

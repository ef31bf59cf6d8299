package garnetscale.peer;

import garnetscale.ExpectedEncodings;
import garnetscale.core.bidding.Bid;
import garnetscale.core.bidding.BidBatch;
import garnetscale.core.job.JobState;
import garnetscale.core.job.TaskId;
import garnetscale.core.machine.ExitCause;
import garnetscale.core.machine.MachineAddress;
import garnetscale.core.machine.TaskState;
import garnetscale.core.machine.TaskStatus;
import garnetscale.core.partition.MachineStatus;
import garnetscale.core.state.Records;
import garnetscale.core.upgrade.UpgradeStep;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Pins the exact bytes of every peer message, with every value of the enums in them. {@link PeerCodecTest} checks that
 * decoding returns the encoded message and that the encoding agrees with the Avro schema.
 */
class PeerBytesTest {

    private static final ExpectedEncodings EXPECTED = new ExpectedEncodings("peer.txt");
    private static final TaskId TASK = new TaskId("wk-000412", 3);
    private static final long ATTEMPT = 16_777_217;

    private static byte[] encode(PeerMessage message) {
        return new PeerCodec().encode(message);
    }

    private static byte[] machineStatus(Double evictionNoticeS, List<TaskStatus> tasks, List<Long> terminated) {
        return encode(new PeerMessage.MachineStatusUpdate(new MachineStatus(
                "n-0",
                4,
                "a/0",
                1_048_577,
                "m-000231",
                "10.1.0.232:9000",
                "g8",
                "b",
                true,
                2,
                evictionNoticeS,
                false,
                tasks,
                terminated)));
    }

    private static byte[] machineStatus(TaskState state, ExitCause cause, boolean checkpointed) {
        return machineStatus(null, List.of(new TaskStatus(TASK, ATTEMPT, state, cause, checkpointed)), List.of());
    }

    @Test
    void heartbeat() {
        EXPECTED.check(
                "heartbeat of the leader", encode(new PeerMessage.ControllerHeartbeat("n-0", 4, 17, 250, false)));
        EXPECTED.check("heartbeat of another", encode(new PeerMessage.ControllerHeartbeat("n-0", 4, -1, 250, true)));
    }

    @Test
    void machineStatusWithAndWithoutOptionalFields() {
        EXPECTED.check("observation minimal", machineStatus(null, List.of(), List.of()));
        TaskStatus running = new TaskStatus(TASK, ATTEMPT, TaskState.RUNNING, null, false);
        TaskStatus exited = new TaskStatus(TASK, ATTEMPT + 1, TaskState.EXITED, ExitCause.STOPPED, true);
        EXPECTED.check("observation full", machineStatus(17.5, List.of(running, exited), List.of(5L, ATTEMPT)));
    }

    @Test
    void taskStates() {
        EXPECTED.check(
                "task states",
                Arrays.stream(TaskState.values())
                        .map(state -> machineStatus(state, null, false))
                        .toList());
    }

    @Test
    void exitCauses() {
        EXPECTED.check(
                "exit causes",
                Arrays.stream(ExitCause.values())
                        .map(cause -> machineStatus(TaskState.EXITED, cause, true))
                        .toList());
    }

    @Test
    void machineDirectory() {
        EXPECTED.check("machine list empty", encode(new PeerMessage.MachineDirectory(List.of(), List.of(), List.of())));
        EXPECTED.check(
                "machine list full",
                encode(new PeerMessage.MachineDirectory(
                        List.of(
                                new MachineAddress("m-000231", "10.1.0.232:9000", "a"),
                                new MachineAddress("m-2", "", "b")),
                        List.of("wk-000412"),
                        List.of("wk-000413", "wk-000414"))));
    }

    @Test
    void jobCancelled() {
        EXPECTED.check("cancellation", encode(new PeerMessage.JobCancelled("wk-000412")));
    }

    @Test
    void jobTerminatedInEachState() {
        EXPECTED.check(
                "end of a job",
                Arrays.stream(JobState.values())
                        .map(state -> encode(new PeerMessage.JobTerminated(
                                "wk-000412", new Records.TerminalJob(state, 16, 15, "red"))))
                        .toList());
    }

    @Test
    void bids() {
        EXPECTED.check("bids empty", encode(new PeerMessage.Bids(new BidBatch("n-0", 4, 431, Map.of(), List.of()))));
        EXPECTED.check(
                "bids full",
                encode(new PeerMessage.Bids(new BidBatch(
                        "n-0",
                        4,
                        431,
                        Map.of("a/0", 1_048_577L),
                        List.of(new Bid("m-000231", 2, "wk-000412", 3, 41.5), new Bid("m-2", 1, "wk-1", 1, 0.1))))));
    }

    @Test
    void operatorRequests() {
        EXPECTED.check(
                "inquiries",
                Arrays.stream(PeerMessage.OperatorRequest.Kind.values())
                        .map(kind -> encode(new PeerMessage.OperatorRequest(kind, "wk-000412")))
                        .toList());
    }

    @Test
    void upgradeSteps() {
        EXPECTED.check(
                "upgrade steps",
                Arrays.stream(UpgradeStep.values())
                        .map(step -> encode(
                                new PeerMessage.OperatorRequest(PeerMessage.OperatorRequest.Kind.UPGRADE, step.name())))
                        .toList());
    }

    @Test
    void operatorResponses() {
        EXPECTED.check(
                "answers",
                Arrays.stream(PeerMessage.OperatorResponse.Outcome.values())
                        .map(outcome -> encode(new PeerMessage.OperatorResponse(outcome, "{\"reason\":\"none\"}")))
                        .toList());
    }
}

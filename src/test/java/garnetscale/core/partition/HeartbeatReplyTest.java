package garnetscale.core.partition;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import garnetscale.core.TestConfig;
import garnetscale.core.cluster.FencingTokens;
import garnetscale.core.machine.WorkerCommand;
import garnetscale.core.machine.WorkerHeartbeat;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests which heartbeats are acknowledged, and which are rejected and why. */
class HeartbeatReplyTest {

    private static final long FIRST_TOKEN = OwnerFixture.FIRST_TOKEN;

    private final OwnerFixture fixture = new OwnerFixture(TestConfig.small());
    private final PartitionOwner owner = fixture.owner;

    @Test
    void anAcknowledgementStartsPlacedTasks() {
        fixture.placeTask();
        owner.onReplicaConfirmed(0);
        HeartbeatReply reply = owner.onHeartbeat(0, fixture.heartbeat(FIRST_TOKEN, List.of()));
        assertEquals(
                new HeartbeatReply.Acknowledge(
                        FIRST_TOKEN, List.of(new WorkerCommand.Start(OwnerFixture.TASK, OwnerFixture.ATTEMPT))),
                reply);
    }

    @Test
    void aRepeatedHeartbeatIsRejected() {
        owner.onReplicaConfirmed(0);
        WorkerHeartbeat heartbeat = fixture.heartbeat(FIRST_TOKEN, List.of());
        assertInstanceOf(HeartbeatReply.Acknowledge.class, owner.onHeartbeat(0, heartbeat));
        assertEquals(new HeartbeatReply.Reject("report overtaken"), owner.onHeartbeat(1, heartbeat));
    }

    @Test
    void aTokenOfANewerTermIsRejected() {
        owner.onReplicaConfirmed(0);
        long newer = FencingTokens.firstToken(OwnerFixture.TERM + 1);
        assertEquals(
                new HeartbeatReply.Reject("the worker has seen a newer term"),
                owner.onHeartbeat(0, fixture.heartbeat(newer, List.of())));
    }

    @Test
    void afterTheGraceHeartbeatsAreRejected() {
        owner.onReplicaConfirmed(0);
        long grace = fixture.config.graceMs();
        assertInstanceOf(
                HeartbeatReply.Acknowledge.class, owner.onHeartbeat(grace, fixture.heartbeat(FIRST_TOKEN, List.of())));
        assertEquals(
                new HeartbeatReply.Reject("term not confirmed within the grace"),
                owner.onHeartbeat(grace + 1, fixture.heartbeat(FIRST_TOKEN, List.of())));
    }

    @Test
    void afterANewStateLeaseTheRedirectNamesNoOwner() {
        owner.onLeaseChanged(2);
        assertEquals(
                new HeartbeatReply.Redirect(null), owner.onHeartbeat(0, fixture.heartbeat(FIRST_TOKEN, List.of())));
    }
}

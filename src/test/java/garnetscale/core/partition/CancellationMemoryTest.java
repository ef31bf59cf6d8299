package garnetscale.core.partition;

import static org.junit.jupiter.api.Assertions.assertEquals;

import garnetscale.core.TestConfig;
import garnetscale.core.machine.WorkerCommand;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * The memory for cancellations that peers report is bounded, and the oldest are dropped first. A cancellation that the replica
 * doesn't show yet must count even if several thousand others arrive with it. A dropped cancellation is still enforced in
 * time, without any report of a peer: after the grace period the owner acknowledges no heartbeats, and the machine's agent
 * epoch expires.
 */
class CancellationMemoryTest {

    private final OwnerFixture fixture = new OwnerFixture(TestConfig.small()).placeTask();
    private final PartitionOwner owner = fixture.owner;
    private final int remembered = fixture.config.maxRememberedCancellations();
    private long now;

    CancellationMemoryTest() {
        owner.onReplicaConfirmed(0);
    }

    /** Returns the commands in the reply to a heartbeat that shows the task running. */
    private List<WorkerCommand> commandsInReply() {
        HeartbeatReply reply =
                owner.onHeartbeat(++now, fixture.heartbeat(OwnerFixture.FIRST_TOKEN, List.of(OwnerFixture.running())));
        return ((HeartbeatReply.Acknowledge) reply).commands();
    }

    private void cancelOthers(int count) {
        for (int i = 0; i < count; i++) {
            owner.onCancelled("wk-other-" + i);
        }
    }

    @Test
    void aCancellationCountsAmongThousandsOfOthers() {
        assertEquals(List.of(), commandsInReply());
        owner.onCancelled("wk-1");
        cancelOthers(remembered - 1);
        assertEquals(List.of(new WorkerCommand.Stop(OwnerFixture.TASK, OwnerFixture.ATTEMPT, 0)), commandsInReply());
    }

    @Test
    void theOldestCancellationIsDroppedFirst() {
        owner.onCancelled("wk-1");
        cancelOthers(remembered);
        assertEquals(List.of(), commandsInReply());
    }
}

package garnetscale.core.partition;

import static org.junit.jupiter.api.Assertions.assertEquals;

import garnetscale.core.TestConfig;
import garnetscale.core.machine.WorkerCommand;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * What an owner keeps of its peers' cancellations is bounded, and the oldest go first: a cancellation that its replica doesn't
 * show yet counts however many thousand others come with it. One that is forgotten is still kept by the grace, which expires
 * the machine's agent epoch in time without any word of a peer.
 */
class CancellationMemoryTest {

    private final OwnerFixture fixture = new OwnerFixture(TestConfig.small()).placeTask();
    private final PartitionOwner owner = fixture.owner;
    private final int remembered = fixture.config.maxRememberedCancellations();
    private long now;

    CancellationMemoryTest() {
        owner.onReplicaConfirmed(0);
    }

    /** The commands in the reply to a heartbeat that shows the task running. */
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
    void theOldestIsForgottenFirstSoThatTheMemoryIsBounded() {
        owner.onCancelled("wk-1");
        cancelOthers(remembered);
        assertEquals(List.of(), commandsInReply());
    }
}

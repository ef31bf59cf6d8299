package garnetscale.core.partition;

import static org.junit.jupiter.api.Assertions.assertEquals;

import garnetscale.core.TestConfig;
import garnetscale.core.machine.TaskStatus;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Bids are computed again only after a change, and the passing of time alone must count as a change too. */
class PartitionOwnerBidTest {

    private static final long HEARTBEAT_MS = 1000;

    private final OwnerFixture fixture = new OwnerFixture(TestConfig.small().workers(HEARTBEAT_MS, 10_000, 35_000));
    private final PartitionOwner owner = fixture.owner;
    private int batches;
    private int bids;

    private void heartbeat(long now, List<TaskStatus> tasks) {
        owner.onReplicaConfirmed(now);
        owner.onHeartbeat(now, fixture.heartbeat(OwnerFixture.FIRST_TOKEN, tasks));
        owner.tick(now);
        for (OwnerEffect effect : owner.drainEffects()) {
            if (effect instanceof OwnerEffect.SubmitBids submission) {
                batches++;
                bids = submission.batch().bids().size();
            }
        }
    }

    /** A machine that failed two jobs is cordoned and doesn't bid. No message or state change marks the end of the cordon. */
    @Test
    void aMachineBidsOnceItsCordonHasEnded() {
        List<TaskStatus> tasks = List.of(OwnerFixture.failed("wk-8", 1), OwnerFixture.failed("wk-9", 2));
        for (long now = 0; now <= 6 * HEARTBEAT_MS; now += HEARTBEAT_MS) {
            heartbeat(now, tasks);
        }
        assertEquals(0, bids, "a machine that failed two jobs is cordoned");
        for (long now = 7 * HEARTBEAT_MS; now <= 10 * HEARTBEAT_MS; now += HEARTBEAT_MS) {
            heartbeat(now, tasks);
        }
        assertEquals(1, bids, "the cordon has ended");
    }

    /**
     * Heartbeats that change nothing must cause no batch: with a thousand machines, bids would be computed all the time. Only the
     * unchanged batch is submitted again, every four heartbeat intervals, because the leader may have dropped it.
     */
    @Test
    void unchangedHeartbeatsCauseNoBatchBeforeTheRefresh() {
        heartbeat(0, List.of());
        heartbeat(200, List.of());
        assertEquals(1, bids);
        int before = batches;
        for (long now = 1000; now < 4 * HEARTBEAT_MS; now += HEARTBEAT_MS) {
            heartbeat(now, List.of());
        }
        assertEquals(before, batches);
        for (long now = 4 * HEARTBEAT_MS; now < 20 * HEARTBEAT_MS; now += HEARTBEAT_MS) {
            heartbeat(now, List.of());
        }
        assertEquals(before + 4, batches, "at 4, 8, 12 and 16 s");
    }
}

package garnetscale.core.partition;

import static org.junit.jupiter.api.Assertions.assertEquals;

import garnetscale.core.TestConfig;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * An owner publishes the status of a machine again although nothing has changed: the leader may have dropped the message, or an
 * older one, delayed on a closed connection, may have replaced it. It was published once, and an idle machine got no work any more.
 */
class StatusRefreshTest {

    private static final long HEARTBEAT_MS = 1000;
    private static final long WORKER_LEASE_MS = 10_000;

    private final OwnerFixture fixture =
            new OwnerFixture(TestConfig.small().workers(HEARTBEAT_MS, WORKER_LEASE_MS, 35_000));
    private final PartitionOwner owner = fixture.owner;
    private final List<Long> publishedAt = new ArrayList<>();

    private void heartbeat(long now) {
        owner.onReplicaConfirmed(now);
        owner.onHeartbeat(now, fixture.heartbeat(OwnerFixture.FIRST_TOKEN, List.of()));
        owner.tick(now);
        owner.drainEffects().stream()
                .filter(OwnerEffect.PublishStatus.class::isInstance)
                .forEach(effect -> publishedAt.add(now));
    }

    @Test
    void anUnchangedStatusIsPublishedAgainWithinAWorkerLease() {
        for (long now = 0; now <= WORKER_LEASE_MS; now += HEARTBEAT_MS) {
            heartbeat(now);
        }
        assertEquals(List.of(0L, 4000L, 8000L), publishedAt);
    }
}

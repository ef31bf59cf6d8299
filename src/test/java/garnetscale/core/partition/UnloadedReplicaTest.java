package garnetscale.core.partition;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetscale.core.TestConfig;
import java.util.List;
import org.junit.jupiter.api.Test;

/** An owner concludes nothing from a replica that isn't loaded, such as one whose listing can't be read yet. */
class UnloadedReplicaTest {

    private static final long NOW = 100_000;

    private final OwnerFixture fixture = new OwnerFixture(TestConfig.small());
    private final PartitionOwner owner = fixture.owner;

    /**
     * A peer's heartbeat that names a new leader makes the owner publish everything again. While its replica was empty, the owner
     * took its partition for lost and forgot a lost start; under the same term the token began anew, below the one that fences it.
     */
    @Test
    void theFencingTokenDoesNotFallWhenALeaderIsAnnouncedWhileTheReplicaIsNotLoaded() {
        owner.onReplicaConfirmed(NOW);
        assertEquals(OwnerFixture.FIRST_TOKEN, tokenInReply());
        fixture.placeTask();
        owner.tick(NOW);
        assertTrue(owner.drainEffects().stream().anyMatch(effect -> effect instanceof OwnerEffect.SendCommands));
        owner.onCommandLost(NOW, OwnerFixture.MACHINE, OwnerFixture.FIRST_TOKEN);

        fixture.unloadReplica();
        owner.resynchronize(NOW);
        fixture.refreshReplica();

        assertEquals(OwnerFixture.FIRST_TOKEN + 1, tokenInReply());
    }

    private long tokenInReply() {
        HeartbeatReply reply = owner.onHeartbeat(NOW, fixture.heartbeat(OwnerFixture.FIRST_TOKEN, List.of()));
        return ((HeartbeatReply.Acknowledge) reply).fencingToken();
    }
}

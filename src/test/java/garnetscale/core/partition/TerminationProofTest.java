package garnetscale.core.partition;

import static org.junit.jupiter.api.Assertions.assertEquals;

import garnetscale.core.TestConfig;
import garnetscale.core.machine.WorkerHeartbeat;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * A placed attempt is reported as terminated only on proof. Neither a heartbeat without the attempt nor the absence of heartbeats
 * alone is a proof.
 */
class TerminationProofTest {

    private static final Set<Long> NONE = Set.of();
    private static final Set<Long> PROVED = Set.of(OwnerFixture.ATTEMPT);
    private static final long OWNED_SINCE = 1000;

    private final OwnerFixture fixture = new OwnerFixture(TestConfig.small()).placeTask();
    private final MachineView machine = new MachineView(OwnerFixture.MACHINE, "a/0", OwnerFixture.TERM);
    private final OwnedPartition owned = new OwnedPartition(OwnerFixture.TERM, OWNED_SINCE);
    private final DesiredPlacements desired =
            new DesiredPlacements(fixture.config, fixture.replica, Map.of(OwnerFixture.MACHINE, machine));
    private final TerminationProof termination = new TerminationProof(fixture.config, fixture.replica, desired);

    private static WorkerHeartbeat emptyHeartbeat(long agentEpoch, long fencingToken) {
        return new WorkerHeartbeat(
                OwnerFixture.MACHINE, "h:1", "t", "a", false, agentEpoch, 1, fencingToken, null, List.of());
    }

    private Set<Long> proved() {
        termination.proveTerminated(machine, owned);
        return machine.terminatedAttempts;
    }

    private Set<Long> provedAt(long now) {
        termination.expire(now, machine, owned);
        return proved();
    }

    @Test
    void anAttemptThatIsToStartIsNotTerminated() {
        machine.lastHeartbeat = emptyHeartbeat(1, OwnerFixture.FIRST_TOKEN);
        assertEquals(NONE, proved());
    }

    @Test
    void aCancelledAttemptIsTerminatedOnceNoStartCanArrive() {
        desired.onCancelled("wk-1");
        machine.fencing.onDirectStart(OwnerFixture.ATTEMPT);
        machine.lastHeartbeat = emptyHeartbeat(1, OwnerFixture.FIRST_TOKEN);
        assertEquals(NONE, proved());
        machine.lastHeartbeat = emptyHeartbeat(1, OwnerFixture.FIRST_TOKEN + 1);
        assertEquals(PROVED, proved());
    }

    @Test
    void aNewerAgentEpochTerminatesAttemptsOfEarlierEpochs() {
        machine.lastHeartbeat = emptyHeartbeat(2, 0);
        assertEquals(PROVED, proved());
    }

    @Test
    void attemptsOnAMachineWithoutHeartbeatAreTerminatedAfterTheFencingDelay() {
        long fencingEnd = OWNED_SINCE + fixture.config.fencingDelayMs();
        assertEquals(NONE, provedAt(fencingEnd));
        assertEquals(PROVED, provedAt(fencingEnd + 1));
    }

    @Test
    void attemptsOnAMachineThatHasSeenTheTokenAreTerminatedOnceItsLeaseHasExpired() {
        long acknowledgedAt = 5000;
        machine.lastHeartbeat = emptyHeartbeat(1, OwnerFixture.FIRST_TOKEN);
        machine.tokenSeenAt = OWNED_SINCE;
        machine.acknowledgedAt = acknowledgedAt;
        long expiry = acknowledgedAt + fixture.config.workerExpiryMs();
        assertEquals(NONE, provedAt(expiry));
        assertEquals(PROVED, provedAt(expiry + 1));
    }

    /** Until the machine has seen the token, an earlier owner may have acknowledged its heartbeats for the grace period. */
    @Test
    void attemptsOnAMachineThatHasNotSeenTheTokenAreTerminatedAfterTheFencingDelay() {
        machine.lastHeartbeat = emptyHeartbeat(1, OwnerFixture.FIRST_TOKEN - 1);
        long fencingEnd = OWNED_SINCE + fixture.config.fencingDelayMs();
        assertEquals(NONE, provedAt(fencingEnd));
        assertEquals(PROVED, provedAt(fencingEnd + 1));
    }
}

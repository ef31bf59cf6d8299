package garnetscale.core.leader;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.TestConfig;
import garnetscale.core.cluster.FencingTokens;
import garnetscale.core.cluster.PartitionMap;
import org.junit.jupiter.api.Test;

/**
 * A term has numbers for some sixteen million attempts, which 4,000 machines use up in a day or two. If a leader went on after
 * that, the next number would be the first of the next term, and two attempts would be taken for one.
 */
class AttemptNumbersTest {

    @Test
    void numbersOfATermNeverReachIntoTheNextTerm() {
        AttemptNumbers numbers = new AttemptNumbers();
        numbers.beginTerm(7, FencingTokens.MAX_ATTEMPTS - 1);
        assertEquals(FencingTokens.attempt(8, 0) - 1, numbers.next());
        assertThrows(IllegalStateException.class, numbers::next);
        numbers.beginTerm(8);
        assertEquals(FencingTokens.attempt(8, 1), numbers.next());
    }

    @Test
    void aLeaderWhoseNumbersAreNearlyExhaustedStepsDownAndMayLeadUnderANewTerm() {
        SchedulerConfig config = TestConfig.small().build();
        ReplicatedState state = new ReplicatedState();
        long lease = state.service.grantLease(0, 60_000);
        state.join("n0", lease, "a");
        Leader leader = new Leader(config, state.replica, new PartitionMap(config), line -> {});
        leader.onLeaseChanged(lease);
        state.commit(leader.election(0));
        assertTrue(leader.leads(0));
        assertNull(leader.resignation(0));

        leader.attempts().beginTerm(1, FencingTokens.MAX_ATTEMPTS - 1000);
        state.commit(leader.resignation(0));
        assertFalse(leader.leads(0));
        state.commit(leader.election(0));
        assertTrue(leader.leads(0));
        assertEquals(2, leader.leadingTerm());
        assertEquals(FencingTokens.attempt(2, 1), leader.attempts().next());
    }
}

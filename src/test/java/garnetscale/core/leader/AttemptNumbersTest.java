package garnetscale.core.leader;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.TestConfig;
import garnetscale.core.partition.ControllerInfo;
import garnetscale.core.partition.FencingTokens;
import garnetscale.core.partition.PartitionMap;
import garnetscale.core.state.Keys;
import garnetscale.core.state.Layouts;
import garnetscale.core.state.Records;
import garnetscale.core.state.StateReplica;
import garnetscale.core.state.Transaction;
import garnetscale.emulator.StateModel;
import org.junit.jupiter.api.Test;

/**
 * A term has numbers for some sixteen million attempts, which 4,000 machines use up in a day or two. The next number would be
 * the first of the next term, and two attempts would be taken for one.
 */
class AttemptNumbersTest {

    @Test
    void noNumberOfATermIsOneOfTheNext() {
        AttemptNumbers numbers = new AttemptNumbers();
        numbers.begin(7, FencingTokens.MAX_ATTEMPTS - 1);
        assertEquals(FencingTokens.attempt(8, 0) - 1, numbers.next());
        assertThrows(IllegalStateException.class, numbers::next);
        numbers.begin(8);
        assertEquals(FencingTokens.attempt(8, 1), numbers.next());
    }

    @Test
    void aLeaderWhoseNumbersRunOutStepsDownAndMayLeadUnderANewTerm() {
        SchedulerConfig config = TestConfig.small().build();
        StateModel state = new StateModel();
        long lease = state.grant(0, 60_000);
        state.commit(new Transaction()
                .put(Keys.node("n0"), Records.node(new ControllerInfo("n0", lease, "a", Layouts.SUPPORTED)), lease));
        StateReplica replica = new StateReplica();
        replica.reset(state.list(Keys.MIRRORED, null, 100), state.revision());
        Leader leader = new Leader(config, replica, new PartitionMap(config), line -> {});
        leader.onLeaseGranted(lease);
        commit(state, replica, leader.election(0));
        assertTrue(leader.leads(0));
        assertNull(leader.resignation(0));

        leader.attempts().begin(1, FencingTokens.MAX_ATTEMPTS - 1000);
        commit(state, replica, leader.resignation(0));
        assertFalse(leader.leads(0));
        commit(state, replica, leader.election(0));
        assertTrue(leader.leads(0));
        assertEquals(2, leader.leadingTerm());
        assertEquals(FencingTokens.attempt(2, 1), leader.attempts().next());
    }

    private static void commit(StateModel state, StateReplica replica, Transaction transaction) {
        assertEquals(200, state.commit(transaction));
        replica.advance(state.changes(Keys.MIRRORED, replica.revision()), state.revision());
    }
}

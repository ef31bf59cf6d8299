package garnetscale.core.lead;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetscale.core.Params;
import garnetscale.core.TestParams;
import garnetscale.core.block.Blocks;
import garnetscale.core.block.NodeInfo;
import garnetscale.core.block.Terms;
import garnetscale.core.store.Keys;
import garnetscale.core.store.Layouts;
import garnetscale.core.store.Records;
import garnetscale.core.store.StateReplica;
import garnetscale.core.store.Txn;
import garnetscale.standin.StateModel;
import org.junit.jupiter.api.Test;

/**
 * A term has numbers for some sixteen million attempts, which 4,000 machines use up in a day or two. The next number would be
 * the first of the next term, and two attempts would be taken for one.
 */
class AttemptNumbersTest {

    @Test
    void noNumberOfATermIsOneOfTheNext() {
        AttemptNumbers numbers = new AttemptNumbers();
        numbers.begin(7, Terms.MOST_ATTEMPTS - 1);
        assertEquals(Terms.attempt(8, 0) - 1, numbers.next());
        assertThrows(IllegalStateException.class, numbers::next);
        numbers.begin(8);
        assertEquals(Terms.attempt(8, 1), numbers.next());
    }

    @Test
    void aLeaderWhoseNumbersRunOutStepsDownAndMayLeadUnderANewTerm() {
        Params params = TestParams.small().build();
        StateModel state = new StateModel();
        long lease = state.grant(0, 60_000);
        state.commit(
                new Txn().put(Keys.node("n0"), Records.node(new NodeInfo("n0", lease, "a", Layouts.SUPPORTED)), lease));
        StateReplica replica = new StateReplica();
        replica.reset(state.list(Keys.MIRRORED, null, 100), state.ledger());
        Leader leader = new Leader(params, replica, new Blocks(params), line -> {});
        leader.incarnate(lease);
        commit(state, replica, leader.election(0));
        assertTrue(leader.leads(0));
        assertNull(leader.resignation(0));

        leader.attempts().begin(1, Terms.MOST_ATTEMPTS - 1000);
        commit(state, replica, leader.resignation(0));
        assertFalse(leader.leads(0));
        commit(state, replica, leader.election(0));
        assertTrue(leader.leads(0));
        assertEquals(2, leader.leadingTerm());
        assertEquals(Terms.attempt(2, 1), leader.attempts().next());
    }

    private static void commit(StateModel state, StateReplica replica, Txn txn) {
        assertEquals(200, state.commit(txn));
        replica.advance(state.changes(Keys.MIRRORED, replica.ledger()), state.ledger());
    }
}

package garnetscale.core.partition;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetscale.core.cluster.FencingTokens;
import org.junit.jupiter.api.Test;

/** A start counts as superseded only once the worker has shown a token above every token under which the start was sent. */
class MachineFencingTest {

    private static final long TERM = FencingTokens.partitionTerm(3, 1);
    private static final long FIRST = FencingTokens.firstToken(TERM);
    private static final long ATTEMPT = 7;

    private final MachineFencing fencing = new MachineFencing(TERM);

    @Test
    void anAttemptWithoutStartInThisTermIsSupersededByItsFirstToken() {
        assertFalse(fencing.isStartSuperseded(ATTEMPT, FIRST - 1, TERM));
        assertTrue(fencing.isStartSuperseded(ATTEMPT, FIRST, TERM));
    }

    @Test
    void aDirectStartRaisesTheTokenAndIsSupersededOnceTheNewTokenIsSeen() {
        fencing.onDirectStart(ATTEMPT);
        assertFalse(fencing.isStartSuperseded(ATTEMPT, FIRST, TERM));
        assertEquals(FIRST + 1, fencing.token());
        assertTrue(fencing.isStartSuperseded(ATTEMPT, FIRST + 1, TERM));
    }

    @Test
    void aStartInTheReplyIsSupersededByTheNextHeartbeat() {
        fencing.onStartInReply(ATTEMPT);
        assertFalse(fencing.isStartSuperseded(ATTEMPT, FIRST, TERM));
        fencing.clearStartsInReply();
        assertTrue(fencing.isStartSuperseded(ATTEMPT, FIRST, TERM));
    }

    @Test
    void aLostCommandRaisesTheTokenAndCountsUntilAHigherTokenIsSeen() {
        fencing.onCommandLost(FIRST);
        assertEquals(FIRST + 1, fencing.token());
        assertTrue(fencing.hasLostCommand(FIRST));
        assertFalse(fencing.hasLostCommand(FIRST + 1));
    }

    @Test
    void theTokenNeverLeavesItsTerm() {
        long last = FencingTokens.firstToken(TERM + 1) - 1;
        fencing.onTokenSeen(last);
        assertFalse(fencing.canRaise());
        fencing.onCommandLost(last);
        assertEquals(last, fencing.token());
        assertTrue(fencing.hasLostCommand(last));
    }
}

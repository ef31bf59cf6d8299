package garnetscale.core.partition;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import garnetscale.core.machine.MachineAddress;
import org.junit.jupiter.api.Test;

/** Direct requests are bounded, and a process that lags asks one question at a time. */
class WorkerRequestLimiterTest {

    private static final int MOST = 8;

    private final WorkerRequestLimiter outbound = new WorkerRequestLimiter(MOST);

    private int sendAll() {
        int sent = 0;
        while (outbound.next(machine -> true) != null) {
            sent++;
        }
        return sent;
    }

    private void askEight() {
        for (int i = 0; i < MOST; i++) {
            outbound.ask(new MachineAddress("m-" + i, "h:" + i, "a"));
        }
    }

    @Test
    void questionsHaveHalfOfTheBound() {
        askEight();
        assertEquals(MOST / 2, sendAll());
        outbound.questionEnded();
        assertEquals(1, sendAll());
    }

    /**
     * After the end of all controllers a new holder asked every machine of its blocks while their reports and the users
     * waited. Never none at all: a machine that doesn't report has to be asked some day however long the lag lasts.
     */
    @Test
    void aLaggingProcessAsksOneAtATime() {
        askEight();
        outbound.lagging(true);
        assertNotNull(outbound.next(machine -> true));
        assertNull(outbound.next(machine -> true));
        outbound.questionEnded();
        assertNotNull(outbound.next(machine -> true));
        outbound.lagging(false);
        assertEquals(MOST / 2 - 1, sendAll());
    }

    @Test
    void commandsHaveTheWholeBound() {
        outbound.lagging(true);
        for (int i = 0; i < MOST; i++) {
            assertEquals(true, outbound.command());
        }
        assertEquals(false, outbound.command());
    }
}

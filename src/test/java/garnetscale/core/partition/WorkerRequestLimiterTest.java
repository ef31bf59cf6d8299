package garnetscale.core.partition;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import garnetscale.core.machine.MachineAddress;
import org.junit.jupiter.api.Test;

/** Direct requests are limited, and a process that lags sends one probe at a time. */
class WorkerRequestLimiterTest {

    private static final int MAX = 8;

    private final WorkerRequestLimiter requests = new WorkerRequestLimiter(MAX);

    private int startAllProbes() {
        int started = 0;
        while (requests.nextProbe(machine -> true) != null) {
            started++;
        }
        return started;
    }

    private void enqueueProbes() {
        for (int i = 0; i < MAX; i++) {
            requests.enqueueProbe(new MachineAddress("m-" + i, "h:" + i, "a"));
        }
    }

    @Test
    void probesMayUseHalfOfTheLimit() {
        enqueueProbes();
        assertEquals(MAX / 2, startAllProbes());
        requests.onProbeEnded();
        assertEquals(1, startAllProbes());
    }

    /**
     * Guards against probes that delay heartbeats and user requests: after all controllers had stopped, a new owner probed
     * every machine of its partitions while heartbeats and user requests waited. One probe is always allowed, since a machine
     * that sends no heartbeat has to be probed eventually, however long the lag lasts.
     */
    @Test
    void aLaggingProcessProbesOneAtATime() {
        enqueueProbes();
        requests.setLagging(true);
        assertNotNull(requests.nextProbe(machine -> true));
        assertNull(requests.nextProbe(machine -> true));
        requests.onProbeEnded();
        assertNotNull(requests.nextProbe(machine -> true));
        requests.setLagging(false);
        assertEquals(MAX / 2 - 1, startAllProbes());
    }

    @Test
    void commandsMayUseTheWholeLimit() {
        requests.setLagging(true);
        for (int i = 0; i < MAX; i++) {
            assertEquals(true, requests.tryStartCommand());
        }
        assertEquals(false, requests.tryStartCommand());
    }
}

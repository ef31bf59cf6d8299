package garnetscale.core.partition;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetscale.core.TestConfig;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests a controller that is isolated from workers, while the state service and the other controllers still reach it. */
class ReachabilityTest {

    private static final int MACHINES = 100;
    private static final List<String> ALL = List.of("m-0", "m-1", "m-2", "m-3", "m-4");

    private final Reachability reachability =
            new Reachability(TestConfig.large().controllers(List.of()).build());

    /** Checks every 250 ms until the given time. Returns the time at which isolation was found, or -1. */
    private long checkUntilIsolated(long from, long until, int expected) {
        for (long now = from; now <= until; now += 250) {
            if (reachability.check(now, expected, Set.of("a/0"))) {
                return now;
            }
        }
        return -1;
    }

    /**
     * Guards against late detection: isolation was detected only once the last machine had been silent for 9.5 s, nearly half
     * of a worker's lease.
     */
    @Test
    void aHundredOverdueHeartbeatsAreDetectedWithinTwoSeconds() {
        reachability.onReachable(0);
        long at = checkUntilIsolated(0, 10_000, MACHINES);
        assertTrue(at > 1000 && at <= 2000, "isolation detected at " + at + " ms");
    }

    @Test
    void fewMachinesMayBeSilentByChance() {
        reachability.onReachable(0);
        assertEquals(-1, checkUntilIsolated(0, 8000, 2));
    }

    /** After a pause of the process nothing can be concluded: messages from the workers have yet to be read. */
    @Test
    void aPauseOfTheProcessIsNotIsolation() {
        reachability.onReachable(0);
        checkUntilIsolated(0, 500, MACHINES);
        assertFalse(reachability.check(30_000, MACHINES, Set.of("a/0")));
        assertFalse(reachability.isIsolatedFromWorkers());
    }

    @Test
    void anIsolatedControllerProbesLostMachinesUntilOneAnswers() {
        reachability.onReachable(0);
        long at = checkUntilIsolated(0, 10_000, MACHINES);
        assertEquals(3, reachability.machinesToProbe(at, ALL, machine -> "a/0").size());
        assertEquals(0, reachability.machinesToProbe(at, ALL, machine -> "a/0").size());
        assertEquals(
                0,
                reachability.machinesToProbe(at + 5000, ALL, machine -> "b/0").size());
        reachability.onReachable(at + 6000);
        assertFalse(reachability.isIsolatedFromWorkers());
        assertEquals(
                0,
                reachability.machinesToProbe(at + 20_000, ALL, machine -> "a/0").size());
    }
}

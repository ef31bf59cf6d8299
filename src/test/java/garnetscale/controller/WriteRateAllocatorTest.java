package garnetscale.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against refused submissions when users submit 15 jobs a second for a minute, at a limit of 40 writes a second. */
class WriteRateAllocatorTest {

    private static final double LIMIT = 40;

    private final WriteRateAllocator rates = new WriteRateAllocator(LIMIT);

    /** With only 22% of the limit, divided among all controllers, live or not, half of these submissions were refused. */
    @Test
    void liveControllersTogetherAdmitTheSubmissions() {
        assertTrue(3 * rates.submissionsPerS(3) > 1.3 * 15);
        assertTrue(2 * rates.submissionsPerS(2) > 1.3 * 15, "one has crashed");
    }

    @Test
    void leaderYieldsToSubmissionsAndRecovers() {
        rates.observe(0, 0);
        assertEquals(0.75 * 0.9 * LIMIT, rates.leaderPerS(), 1e-9);
        for (int i = 1; i <= 4; i++) {
            rates.observe(500 * i, 8 * i);
        }
        assertTrue(rates.leaderPerS() + 16 <= 0.9 * LIMIT, "both together stay below the limit");
        for (int i = 5; i <= 25; i++) {
            rates.observe(500 * i, 32);
        }
        assertEquals(0.75 * 0.9 * LIMIT, rates.leaderPerS(), 0.1);
    }

    /** At any rate of submissions, the ends and starts of tasks have to be written too. */
    @Test
    void theLeaderKeepsItsMinimum() {
        rates.observe(500, 1000);
        assertEquals(0.45 * 0.9 * LIMIT, rates.leaderPerS(), 1e-9);
    }
}

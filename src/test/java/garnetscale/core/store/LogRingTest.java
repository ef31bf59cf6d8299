package garnetscale.core.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Which key the next entry goes under, and when it must not: what it overwrites has to be in the base. */
class LogRingTest {

    private final LogRing ring = new LogRing();

    private void fill(int entries) {
        for (long number = 1; number <= entries; number++) {
            ring.put(ring.next(entries), number);
        }
    }

    @Test
    void aRingOfTheFirstSizeUsesTheKeysOfTheFirstLayout() {
        for (long number = 1; number <= 3 * WorkLog.RING; number++) {
            String key = ring.next(WorkLog.RING);
            assertEquals(LogRing.firstLayoutKey(number), key);
            ring.put(key, number);
        }
    }

    @Test
    void anEntryIsOverwrittenOnceTheBaseHoldsIt() {
        fill(WorkLog.RING);
        assertTrue(ring.isFull(WorkLog.RING, 0));
        assertFalse(ring.isFull(WorkLog.RING, 1), "the first entry is in the base");
        assertFalse(ring.isFull(WorkLog.RING + 1, 0), "there is room for one more");
        String next = LogRing.firstLayoutKey(WorkLog.RING + 1);
        assertTrue(ring.holdsNewerThan(0, next));
        assertFalse(ring.holdsNewerThan(1, next));
    }

    @Test
    void aRingGrowsByKeysThatAreNotInUse() {
        int entries = 2 * WorkLog.RING;
        Set<String> keys = new HashSet<>();
        for (long number = 1; number <= entries; number++) {
            String key = ring.next(entries);
            assertTrue(keys.add(key), key + " is used twice");
            ring.put(key, number);
        }
        assertEquals(entries, ring.newestBeyondFirstLayout());
        assertEquals(List.of("g/l/96", "g/l/97"), ring.beyondFirstLayout(WorkLog.RING + 2));
        // One in the middle is deleted, as on the way back to the first layout, and then the way back is given up.
        ring.remove("g/l/97");
        assertFalse(keys.contains(ring.next(entries + 1)), "it would overwrite a live entry");
    }
}

package garnetscale.core.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Which key the next entry goes under, and when it must not: what it overwrites has to be in the base. */
class LogRingBufferTest {

    private final LogRingBuffer ringBuffer = new LogRingBuffer();

    private void fill(int entries) {
        for (long number = 1; number <= entries; number++) {
            ringBuffer.put(ringBuffer.next(entries), number);
        }
    }

    @Test
    void aRingOfTheFirstSizeUsesTheKeysOfTheFirstLayout() {
        for (long number = 1; number <= 3 * WorkLog.RING; number++) {
            String key = ringBuffer.next(WorkLog.RING);
            assertEquals(LogRingBuffer.firstLayoutKey(number), key);
            ringBuffer.put(key, number);
        }
    }

    @Test
    void anEntryIsOverwrittenOnceTheBaseHoldsIt() {
        fill(WorkLog.RING);
        assertTrue(ringBuffer.isFull(WorkLog.RING, 0));
        assertFalse(ringBuffer.isFull(WorkLog.RING, 1), "the first entry is in the base");
        assertFalse(ringBuffer.isFull(WorkLog.RING + 1, 0), "there is room for one more");
        String next = LogRingBuffer.firstLayoutKey(WorkLog.RING + 1);
        assertTrue(ringBuffer.holdsNewerThan(0, next));
        assertFalse(ringBuffer.holdsNewerThan(1, next));
    }

    @Test
    void aRingGrowsByKeysThatAreNotInUse() {
        int entries = 2 * WorkLog.RING;
        Set<String> keys = new HashSet<>();
        for (long number = 1; number <= entries; number++) {
            String key = ringBuffer.next(entries);
            assertTrue(keys.add(key), key + " is used twice");
            ringBuffer.put(key, number);
        }
        assertEquals(entries, ringBuffer.newestBeyondFirstLayout());
        assertEquals(List.of("g/l/96", "g/l/97"), ringBuffer.beyondFirstLayout(WorkLog.RING + 2));
        // One in the middle is deleted, as on the way back to the first layout, and then the way back is given up.
        ringBuffer.remove("g/l/97");
        assertFalse(keys.contains(ringBuffer.next(entries + 1)), "it would overwrite a live entry");
    }
}

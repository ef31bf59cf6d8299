package garnetscale.core.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Which key the next entry goes under, and when it must not: what it overwrites has to be in the snapshot. */
class LogRingBufferTest {

    private final LogRingBuffer ringBuffer = new LogRingBuffer();

    private void fill(int entries) {
        for (long number = 1; number <= entries; number++) {
            ringBuffer.put(ringBuffer.next(entries), number);
        }
    }

    @Test
    void aRingBufferOfTheFirstSizeUsesTheKeysOfTheFirstLayout() {
        for (long number = 1; number <= 3 * WorkLog.FIRST_CAPACITY; number++) {
            String key = ringBuffer.next(WorkLog.FIRST_CAPACITY);
            assertEquals(LogRingBuffer.firstLayoutKey(number), key);
            ringBuffer.put(key, number);
        }
    }

    @Test
    void anEntryIsOverwrittenOnceTheSnapshotContainsIt() {
        fill(WorkLog.FIRST_CAPACITY);
        assertTrue(ringBuffer.isFull(WorkLog.FIRST_CAPACITY, 0));
        assertFalse(ringBuffer.isFull(WorkLog.FIRST_CAPACITY, 1), "the first entry is in the snapshot");
        assertFalse(ringBuffer.isFull(WorkLog.FIRST_CAPACITY + 1, 0), "there is room for one more");
        String next = LogRingBuffer.firstLayoutKey(WorkLog.FIRST_CAPACITY + 1);
        assertTrue(ringBuffer.holdsNewerThan(0, next));
        assertFalse(ringBuffer.holdsNewerThan(1, next));
    }

    @Test
    void aRingBufferGrowsByKeysThatAreNotInUse() {
        int entries = 2 * WorkLog.FIRST_CAPACITY;
        Set<String> keys = new HashSet<>();
        for (long number = 1; number <= entries; number++) {
            String key = ringBuffer.next(entries);
            assertTrue(keys.add(key), key + " is used twice");
            ringBuffer.put(key, number);
        }
        assertEquals(entries, ringBuffer.newestBeyondFirstLayout());
        assertEquals(List.of("g/l/96", "g/l/97"), ringBuffer.beyondFirstLayout(WorkLog.FIRST_CAPACITY + 2));
        // One in the middle is deleted, as on the way back to the first layout, and then the way back is given up.
        ringBuffer.remove("g/l/97");
        assertFalse(keys.contains(ringBuffer.next(entries + 1)), "it would overwrite a live entry");
    }
}

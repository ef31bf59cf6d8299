package garnetscale.core.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** The key of the next entry, and the rule that an overwritten entry must already be in the snapshot. */
class LogRingBufferTest {

    private final LogRingBuffer ringBuffer = new LogRingBuffer();

    private void fill(int entries) {
        for (long sequence = 1; sequence <= entries; sequence++) {
            ringBuffer.put(ringBuffer.nextKey(entries), sequence);
        }
    }

    @Test
    void aRingBufferOfMinimumCapacityUsesTheKeysOfTheFirstLayout() {
        for (long sequence = 1; sequence <= 3 * WorkLog.FIRST_CAPACITY; sequence++) {
            String key = ringBuffer.nextKey(WorkLog.FIRST_CAPACITY);
            assertEquals(LogRingBuffer.firstLayoutKey(sequence), key);
            ringBuffer.put(key, sequence);
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
    void aGrowingRingBufferUsesNewKeys() {
        int entries = 2 * WorkLog.FIRST_CAPACITY;
        Set<String> keys = new HashSet<>();
        for (long sequence = 1; sequence <= entries; sequence++) {
            String key = ringBuffer.nextKey(entries);
            assertTrue(keys.add(key), key + " is used twice");
            ringBuffer.put(key, sequence);
        }
        assertEquals(entries, ringBuffer.newestBeyondFirstLayout());
        assertEquals(
                List.of("g/l/96", "g/l/97"), ringBuffer.compactedKeysBeyondFirstLayout(WorkLog.FIRST_CAPACITY + 2));
        // A key in the middle is deleted, as in a conversion to the first layout that is then abandoned.
        ringBuffer.remove("g/l/97");
        assertFalse(keys.contains(ringBuffer.nextKey(entries + 1)), "it would overwrite a live entry");
    }
}

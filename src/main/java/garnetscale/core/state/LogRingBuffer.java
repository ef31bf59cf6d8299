package garnetscale.core.state;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The ring buffer of keys under which the entries of the work log are stored. Each new entry overwrites the oldest one, which
 * the snapshot must already contain. A larger snapshot takes longer to compact completely and needs more keys.
 */
final class LogRingBuffer {

    private final TreeMap<Long, String> keyOfSequence = new TreeMap<>();
    private final Map<String, Long> sequenceOfKey = new HashMap<>();
    /** Number of stored keys that the first layout doesn't use. */
    private int keysBeyondFirstLayout;

    /** Records that an entry was stored under a key. */
    void put(String key, long sequence) {
        Long before = sequenceOfKey.put(key, sequence);
        if (before != null) {
            keyOfSequence.remove(before);
        } else if (isBeyondFirstLayout(key)) {
            keysBeyondFirstLayout++;
        }
        keyOfSequence.put(sequence, key);
    }

    /** Records that a key was deleted. */
    void remove(String key) {
        Long before = sequenceOfKey.remove(key);
        if (before == null) {
            return;
        }
        keyOfSequence.remove(before);
        if (isBeyondFirstLayout(key)) {
            keysBeyondFirstLayout--;
        }
    }

    /** Returns the key of the entry with this sequence number, or null if it isn't stored. */
    String keyOf(long sequence) {
        return keyOfSequence.get(sequence);
    }

    /** Returns the key under which to write the next entry if the ring buffer holds {@code capacity} entries. */
    String nextKey(int capacity) {
        if (keyOfSequence.size() >= capacity) {
            return keyOfSequence.firstEntry().getValue();
        }
        int position = keyOfSequence.size();
        while (sequenceOfKey.containsKey(keyAt(position))) {
            position++;
        }
        return keyAt(position);
    }

    /** Returns the key under which the first layout stores an entry. */
    static String firstLayoutKey(long sequence) {
        return Keys.LOG + Math.floorMod(sequence, (long) WorkLog.FIRST_CAPACITY);
    }

    /** Returns whether the key holds an entry with a sequence number above {@code sequence}. */
    boolean holdsNewerThan(long sequence, String key) {
        return sequenceOfKey.getOrDefault(key, 0L) > sequence;
    }

    /** Returns the highest sequence number under a key that the first layout doesn't use, or 0 if there is none. */
    long newestBeyondFirstLayout() {
        if (keysBeyondFirstLayout == 0) {
            return 0;
        }
        long newest = 0;
        for (Map.Entry<String, Long> entry : sequenceOfKey.entrySet()) {
            if (isBeyondFirstLayout(entry.getKey())) {
                newest = Math.max(newest, entry.getValue());
            }
        }
        return newest;
    }

    /** Returns the keys that the first layout doesn't use and whose entries have sequence numbers up to {@code sequence}. */
    List<String> compactedKeysBeyondFirstLayout(long sequence) {
        if (keysBeyondFirstLayout == 0) {
            return List.of();
        }
        return sequenceOfKey.entrySet().stream()
                .filter(entry -> entry.getValue() <= sequence && isBeyondFirstLayout(entry.getKey()))
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
    }

    private static boolean isBeyondFirstLayout(String key) {
        return Integer.parseInt(key.substring(Keys.LOG.length())) >= WorkLog.FIRST_CAPACITY;
    }

    /**
     * Returns whether the next entry would overwrite an entry that may not be in the snapshot yet.
     *
     * @param sequence the sequence number up to which every snapshot region contains all entries
     */
    boolean isFull(int capacity, long sequence) {
        return keyOfSequence.size() >= capacity && keyOfSequence.firstKey() > sequence;
    }

    /** Returns the key at a position. Up to the capacity of the first layout, keys are used in the first layout's order. */
    private static String keyAt(int position) {
        return position < WorkLog.FIRST_CAPACITY ? firstLayoutKey(position + 1) : Keys.LOG + position;
    }
}

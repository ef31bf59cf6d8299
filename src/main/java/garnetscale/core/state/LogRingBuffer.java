package garnetscale.core.state;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The keys under which the entries of the work log are stored. Each entry is written over the oldest one, which the snapshot
 * contains by then. The larger the snapshot, the longer it takes until every region is compacted, and the more keys there are.
 */
final class LogRingBuffer {

    private final TreeMap<Long, String> keyOfNumber = new TreeMap<>();
    private final Map<String, Long> numberOfKey = new HashMap<>();
    /** How many keys the first layout doesn't use. */
    private int beyondFirstLayout;

    /** An entry was stored under a key. */
    void put(String key, long number) {
        Long before = numberOfKey.put(key, number);
        if (before != null) {
            keyOfNumber.remove(before);
        } else if (isBeyondFirstLayout(key)) {
            beyondFirstLayout++;
        }
        keyOfNumber.put(number, key);
    }

    /** The entry under a key was deleted. */
    void remove(String key) {
        Long before = numberOfKey.remove(key);
        if (before == null) {
            return;
        }
        keyOfNumber.remove(before);
        if (isBeyondFirstLayout(key)) {
            beyondFirstLayout--;
        }
    }

    /** The key of the entry with this number, or null. */
    String keyOf(long number) {
        return keyOfNumber.get(number);
    }

    /** The key that the next entry is to be written under, in a ring buffer of that capacity. */
    String next(int capacity) {
        if (keyOfNumber.size() >= capacity) {
            return keyOfNumber.firstEntry().getValue();
        }
        int position = keyOfNumber.size();
        while (numberOfKey.containsKey(keyAt(position))) {
            position++;
        }
        return keyAt(position);
    }

    /** The key that the first layout puts an entry under. */
    static String firstLayoutKey(long number) {
        return Keys.LOG + Math.floorMod(number, (long) WorkLog.FIRST_CAPACITY);
    }

    /** Whether the key holds an entry that comes after the given one. */
    boolean holdsNewerThan(long number, String key) {
        return numberOfKey.getOrDefault(key, 0L) > number;
    }

    /** The newest entry under a key that the first layout doesn't use, or 0. */
    long newestBeyondFirstLayout() {
        if (beyondFirstLayout == 0) {
            return 0;
        }
        long newest = 0;
        for (Map.Entry<String, Long> entry : numberOfKey.entrySet()) {
            if (isBeyondFirstLayout(entry.getKey())) {
                newest = Math.max(newest, entry.getValue());
            }
        }
        return newest;
    }

    /** Keys that the first layout doesn't use and whose entries don't go beyond the given one. */
    List<String> beyondFirstLayout(long number) {
        if (beyondFirstLayout == 0) {
            return List.of();
        }
        return numberOfKey.entrySet().stream()
                .filter(entry -> entry.getValue() <= number && isBeyondFirstLayout(entry.getKey()))
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
    }

    private static boolean isBeyondFirstLayout(String key) {
        return Integer.parseInt(key.substring(Keys.LOG.length())) >= WorkLog.FIRST_CAPACITY;
    }

    /** Whether the next entry would overwrite one that the snapshot, complete up to {@code number}, may not contain. */
    boolean isFull(int capacity, long number) {
        return keyOfNumber.size() >= capacity && keyOfNumber.firstKey() > number;
    }

    /** While the ring buffer has its first size, the keys are used in the order in which the first layout uses them. */
    private static String keyAt(int position) {
        return position < WorkLog.FIRST_CAPACITY ? firstLayoutKey(position + 1) : Keys.LOG + position;
    }
}

package garnetscale.core.state;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The keys that the entries of the work log lie in. Each entry is written over the oldest one, whose content is in the
 * base by then. The larger the base, the longer it takes until each part of it has been rewritten, and the more keys there are.
 */
final class LogRingBuffer {

    private final TreeMap<Long, String> keys = new TreeMap<>();
    private final Map<String, Long> numbers = new HashMap<>();
    /** How many keys the first layout doesn't use. */
    private int beyondFirstLayout;

    /** An entry was stored under a key. */
    void put(String key, long number) {
        Long before = numbers.put(key, number);
        if (before != null) {
            keys.remove(before);
        } else if (isBeyondFirstLayout(key)) {
            beyondFirstLayout++;
        }
        keys.put(number, key);
    }

    void remove(String key) {
        Long before = numbers.remove(key);
        if (before == null) {
            return;
        }
        keys.remove(before);
        if (isBeyondFirstLayout(key)) {
            beyondFirstLayout--;
        }
    }

    /** The key of the entry with this number, or null. */
    String keyOf(long number) {
        return keys.get(number);
    }

    /** The key that the next entry is to be written under, in a ring of so many keys. */
    String next(int capacity) {
        if (keys.size() >= capacity) {
            return keys.firstEntry().getValue();
        }
        int position = keys.size();
        while (numbers.containsKey(nameOf(position))) {
            position++;
        }
        return nameOf(position);
    }

    /** The key that the first layout puts an entry under. */
    static String firstLayoutKey(long number) {
        return Keys.LOG + Math.floorMod(number, (long) WorkLog.FIRST_CAPACITY);
    }

    /** Whether the key holds an entry behind the given one. */
    boolean holdsNewerThan(long number, String key) {
        return numbers.getOrDefault(key, 0L) > number;
    }

    /** The newest entry under a key that the first layout doesn't use, or 0. */
    long newestBeyondFirstLayout() {
        if (beyondFirstLayout == 0) {
            return 0;
        }
        long newest = 0;
        for (Map.Entry<String, Long> entry : numbers.entrySet()) {
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
        return numbers.entrySet().stream()
                .filter(entry -> entry.getValue() <= number && isBeyondFirstLayout(entry.getKey()))
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
    }

    private static boolean isBeyondFirstLayout(String key) {
        return Integer.parseInt(key.substring(Keys.LOG.length())) >= WorkLog.FIRST_CAPACITY;
    }

    /** Whether the next entry would overwrite one that the base doesn't hold everywhere, being complete up to {@code number}. */
    boolean isFull(int capacity, long number) {
        return keys.size() >= capacity && keys.firstKey() > number;
    }

    /** While the ring has its first size, the keys are used in the order in which the first layout uses them. */
    private static String nameOf(int position) {
        return position < WorkLog.FIRST_CAPACITY ? firstLayoutKey(position + 1) : Keys.LOG + position;
    }
}

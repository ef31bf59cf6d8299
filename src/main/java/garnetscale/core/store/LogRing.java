package garnetscale.core.store;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * The keys that the entries of the work log lie in. Each entry is written over the oldest one, whose content is in the
 * base by then. The larger the base, the longer it takes until each part of it has been rewritten, and the more keys there are.
 */
final class LogRing {

    private final TreeMap<Long, String> keys = new TreeMap<>();
    private final Map<String, Long> numbers = new HashMap<>();

    /** An entry was stored under a key. */
    void put(String key, long number) {
        Long before = numbers.put(key, number);
        if (before != null) {
            keys.remove(before);
        }
        keys.put(number, key);
    }

    void remove(String key) {
        Long before = numbers.remove(key);
        if (before != null) {
            keys.remove(before);
        }
    }

    /** The key of the entry with this number, or null. */
    String keyOf(long number) {
        return keys.get(number);
    }

    /** The key that the next entry is to be written under, in a ring of so many keys. */
    String next(int capacity) {
        return keys.size() < capacity ? nameOf(keys.size()) : keys.firstEntry().getValue();
    }

    /** Whether the next entry would overwrite one that the base doesn't hold everywhere, being complete up to {@code number}. */
    boolean isFull(int capacity, long number) {
        return keys.size() >= capacity && keys.firstKey() > number;
    }

    /** Layout 1 calls the key of an entry by its number modulo the ring's first size, and entries are numbered from 1. */
    private static String nameOf(int position) {
        return Keys.LOG + (position < WorkLog.RING ? (position + 1) % WorkLog.RING : position);
    }
}

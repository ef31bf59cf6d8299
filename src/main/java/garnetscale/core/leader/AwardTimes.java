package garnetscale.core.leader;

import java.util.Map;
import java.util.TreeMap;

/**
 * When this leader awarded its attempts. What holders report of a task's start may come late or be lost; since an attempt can't
 * have begun before its award, this bounds how long it has run. Attempts are numbered in the order of their awards, so that one
 * entry serves all that were given within the resolution.
 */
final class AwardTimes {

    /** Entries that are kept; attempts from before the oldest one count as unknown. */
    private static final int MOST_ENTRIES = 4096;

    private final long resolutionMs;
    private final TreeMap<Long, Long> firstAttempts = new TreeMap<>();

    AwardTimes(long resolutionMs) {
        this.resolutionMs = resolutionMs;
    }

    /** A new leadership begins: when an earlier leader awarded isn't known. */
    void clear() {
        firstAttempts.clear();
    }

    /** An attempt, with a higher number than all before, is awarded. */
    void add(long now, long attempt) {
        if (!firstAttempts.isEmpty() && now - firstAttempts.lastEntry().getValue() < resolutionMs) {
            return;
        }
        firstAttempts.put(attempt, now);
        if (firstAttempts.size() > MOST_ENTRIES) {
            firstAttempts.pollFirstEntry();
        }
    }

    /** When the attempt was awarded, at most the resolution too early; null where that isn't known. */
    Long at(long attempt) {
        Map.Entry<Long, Long> entry = firstAttempts.floorEntry(attempt);
        return entry == null ? null : entry.getValue();
    }
}

package garnetscale.core.leader;

import java.util.Map;
import java.util.TreeMap;

/**
 * When this leader placed its attempts. Heartbeats that tell of a task's start may come late or be lost; since an attempt can't
 * have begun before it was placed, this bounds how long it has run. Attempts are numbered in the order of their placements, so that
 * one entry serves all that were placed within the resolution.
 */
final class AwardTimes {

    /** Entries that are kept; attempts from before the oldest one count as unknown. */
    private static final int MAX_ENTRIES = 4096;

    private final long resolutionMs;
    /** The time of an entry by its first attempt. */
    private final TreeMap<Long, Long> timesByFirstAttempt = new TreeMap<>();

    AwardTimes(long resolutionMs) {
        this.resolutionMs = resolutionMs;
    }

    /** A new leadership begins: when an earlier leader placed attempts isn't known. */
    void clear() {
        timesByFirstAttempt.clear();
    }

    /** An attempt, with a higher number than all before, is placed. */
    void add(long now, long attempt) {
        if (!timesByFirstAttempt.isEmpty()
                && now - timesByFirstAttempt.lastEntry().getValue() < resolutionMs) {
            return;
        }
        timesByFirstAttempt.put(attempt, now);
        if (timesByFirstAttempt.size() > MAX_ENTRIES) {
            timesByFirstAttempt.pollFirstEntry();
        }
    }

    /** When the attempt was placed, at most the resolution too early; null where that isn't known. */
    Long at(long attempt) {
        Map.Entry<Long, Long> entry = timesByFirstAttempt.floorEntry(attempt);
        return entry == null ? null : entry.getValue();
    }
}

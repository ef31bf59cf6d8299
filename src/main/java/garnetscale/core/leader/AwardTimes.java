package garnetscale.core.leader;

import java.util.Map;
import java.util.TreeMap;

/**
 * Remembers when this leader placed its attempts. Heartbeats that report a task's start may be late or lost. Since an attempt
 * can't have begun before it was placed, the time of its placement bounds how long it has run. Attempts are numbered in the
 * order of their placement, so one entry serves all attempts placed within the resolution.
 */
final class AwardTimes {

    /** Maximum number of entries; the times of attempts older than the oldest entry are unknown. */
    private static final int MAX_ENTRIES = 4096;

    private final long resolutionMs;
    /** Time of each entry, by its first attempt. */
    private final TreeMap<Long, Long> timeByFirstAttempt = new TreeMap<>();

    AwardTimes(long resolutionMs) {
        this.resolutionMs = resolutionMs;
    }

    /** Discards all entries at the start of a new term; when an earlier leader placed attempts is unknown. */
    void clear() {
        timeByFirstAttempt.clear();
    }

    /** Records that an attempt was placed. Its number must be higher than all before. */
    void add(long now, long attempt) {
        if (!timeByFirstAttempt.isEmpty()
                && now - timeByFirstAttempt.lastEntry().getValue() < resolutionMs) {
            return;
        }
        timeByFirstAttempt.put(attempt, now);
        if (timeByFirstAttempt.size() > MAX_ENTRIES) {
            timeByFirstAttempt.pollFirstEntry();
        }
    }

    /** Returns when the attempt was placed, or null if that is unknown. The time may be too early by up to the resolution. */
    Long at(long attempt) {
        Map.Entry<Long, Long> entry = timeByFirstAttempt.floorEntry(attempt);
        return entry == null ? null : entry.getValue();
    }
}

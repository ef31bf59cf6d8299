package garnetscale.controller;

import java.util.Arrays;
import java.util.Locale;

/**
 * Measures the event loop's wall time by activity; a pause of the process counts for the activity that it interrupts. The profile
 * is always on and logged periodically. It doesn't include the rest of the process's time, which is that of Netty, the garbage
 * collector and the JIT compiler. Confined to the event loop.
 */
final class EventLoopProfile {

    /** Activities of the event loop; the time of nested work counts only for the inner activity. */
    enum Activity {
        HEARTBEATS,
        USERS,
        STATE,
        PEERS,
        WORKERS,
        OWNER,
        LEADER,
        AUTOSCALER
    }

    private static final Activity[] ACTIVITIES = Activity.values();
    private static final long NANOS_PER_MS = 1_000_000;

    private final long[] nanos = new long[ACTIVITIES.length];
    private final long[] runs = new long[ACTIVITIES.length];
    private Activity current;
    private long since;

    /** Runs the work and adds its time to the activity. */
    void run(Activity activity, Runnable work) {
        long now = System.nanoTime();
        if (current != null) {
            nanos[current.ordinal()] += now - since;
        }
        since = now;
        Activity outer = current;
        current = activity;
        runs[activity.ordinal()]++;
        try {
            work.run();
        } finally {
            now = System.nanoTime();
            nanos[activity.ordinal()] += now - since;
            since = now;
            current = outer;
        }
    }

    /** Returns runs and milliseconds of each activity since the last call, as {@code activity=runs activity_ms=time}. */
    String takeSummary() {
        StringBuilder line = new StringBuilder();
        for (Activity activity : ACTIVITIES) {
            String name = activity.name().toLowerCase(Locale.ROOT);
            line.append(line.length() == 0 ? "" : " ")
                    .append(name)
                    .append('=')
                    .append(runs[activity.ordinal()])
                    .append(' ')
                    .append(name)
                    .append("_ms=")
                    .append(nanos[activity.ordinal()] / NANOS_PER_MS);
        }
        Arrays.fill(nanos, 0);
        Arrays.fill(runs, 0);
        return line.toString();
    }
}

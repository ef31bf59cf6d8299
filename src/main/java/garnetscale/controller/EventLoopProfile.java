package garnetscale.controller;

import java.util.Arrays;
import java.util.Locale;

/**
 * Counts what the event loop's time is spent on, by activity: always on, and logged now and then. What Netty, the garbage
 * collector and the compiler take is the rest of the process's time and isn't in here. Lives on the event loop.
 */
final class EventLoopProfile {

    /** What the event loop works on; work inside other work counts for the inner activity alone. */
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

    /** Runs the work, and counts its time for the activity. */
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

    /** Runs and milliseconds of each activity since the last call, as {@code activity=runs activity_ms=time}. */
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

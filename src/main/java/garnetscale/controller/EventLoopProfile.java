package garnetscale.controller;

import java.util.Arrays;
import java.util.Locale;

/**
 * What the event loop's turns are spent on, by role: always on, and logged now and then. What Netty, the collector and the
 * compiler take is the rest of the process's time and not in here.
 */
final class EventLoopProfile {

    /** Whose turn it is; a turn inside another counts for the inner one alone. */
    enum Role {
        REPORTS,
        USERS,
        STATE,
        PEERS,
        WORKERS,
        OWNER,
        LEADER,
        AUTOSCALER
    }

    private final long[] nanos = new long[Role.values().length];
    private final long[] count = new long[Role.values().length];
    private Role role;
    private long since;

    void run(Role mine, Runnable work) {
        long now = System.nanoTime();
        if (role != null) {
            nanos[role.ordinal()] += now - since;
        }
        since = now;
        Role outer = role;
        role = mine;
        count[mine.ordinal()]++;
        try {
            work.run();
        } finally {
            now = System.nanoTime();
            nanos[mine.ordinal()] += now - since;
            since = now;
            role = outer;
        }
    }

    /** A line with each role's turns and milliseconds since the last one. */
    String take() {
        StringBuilder line = new StringBuilder();
        for (Role r : Role.values()) {
            line.append(line.length() == 0 ? "" : ", ")
                    .append(r.name().toLowerCase(Locale.ROOT))
                    .append(' ')
                    .append(count[r.ordinal()])
                    .append(" in ")
                    .append(nanos[r.ordinal()] / 1_000_000)
                    .append(" ms");
        }
        Arrays.fill(nanos, 0);
        Arrays.fill(count, 0);
        return line.toString();
    }
}

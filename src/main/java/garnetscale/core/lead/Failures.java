package garnetscale.core.lead;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * Whose fault failing tasks are. A job that fails on several machines and completes nothing is at fault itself:
 * it waits longer and longer between tries, and its failures aren't held against machines, or one bad
 * submission would take them all out of service.
 */
public final class Failures {

    /** Machines that a job must fail on, without completing a task, before it is the suspect. */
    private static final int SUSPECT = 3;
    private static final int REMEMBERED = 4096;

    private static final class Tries {
        final Set<String> machines = new HashSet<>();
        int failed;
        boolean completed;
        long notBefore = Long.MIN_VALUE;
    }

    private final Map<String, Tries> jobs = new HashMap<>();
    private final Set<Long> seen = new LinkedHashSet<>();

    /** False when the attempt's end was judged before: a transaction may be drafted several times. */
    boolean firstSight(long attempt) {
        if (!seen.add(attempt)) {
            return false;
        }
        if (seen.size() > REMEMBERED) {
            var it = seen.iterator();
            it.next();
            it.remove();
        }
        return true;
    }

    void completed(String job) {
        Tries t = jobs.get(job);
        if (t != null) {
            t.completed = true;
            t.notBefore = Long.MIN_VALUE;
        }
    }

    /** Notes a failure; true when the job rather than the machine is to blame. */
    boolean failed(long now, String job, String machine) {
        Tries t = jobs.computeIfAbsent(job, k -> new Tries());
        t.machines.add(machine);
        t.failed++;
        boolean suspect = !t.completed && t.machines.size() >= SUSPECT;
        if (suspect) {
            t.notBefore = now + 1000L * Math.min(30, 1L << Math.min(5, t.failed - SUSPECT));
        }
        return suspect;
    }

    boolean mayStart(long now, String job) {
        Tries t = jobs.get(job);
        return t == null || now >= t.notBefore;
    }
}

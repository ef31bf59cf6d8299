package garnetscale.core.leader;

import garnetscale.core.job.TaskId;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Whose fault failing tasks are, told by who else succeeds. A job that fails on several machines and completes nothing
 * is the suspect, and what it did there is held against none of them, neither what comes nor what came before it was
 * one: two bad submissions that are spread over a fleet would otherwise take all of it out of service. A suspect is
 * tried ever more rarely, with a task at a time, until one of its tasks completes or its user cancels it. Of a job that
 * has completed tasks, single tasks are told from machines in the same way.
 */
public final class FailureTracker {

    /** Machines that a job must fail on, without completing a task, before it is the suspect. */
    private static final int SUSPECT = 3;
    /** Of a suspect, the tasks that may be placed at a time: enough to find out, few enough to cost nothing. */
    private static final int TRIED_AT_ONCE = 1;

    private static final int REMEMBERED = 4096;
    private static final long FIRST_PAUSE_MS = 1000;
    private static final int MOST_DOUBLED = 5;

    private static final class Tries {
        final Set<String> machines = new HashSet<>();
        int tried;
        boolean completed;
        long notBefore = Long.MIN_VALUE;
    }

    private final Map<String, Tries> jobs = new HashMap<>();
    /** Failing tasks of jobs that have completed others. */
    private final Map<TaskId, Tries> tasks = new HashMap<>();

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

    void completed(TaskId task) {
        tasks.remove(task);
        sound(task.job());
    }

    /** The job has completed tasks, whoever saw it. */
    void sound(String job) {
        Tries t = jobs.computeIfAbsent(job, k -> new Tries());
        t.completed = true;
        t.machines.clear();
        t.notBefore = Long.MIN_VALUE;
    }

    /** Notes a failure on a machine; true when the job or the task, rather than the machine, is to blame from now on. */
    boolean failed(long now, TaskId task, String machine) {
        Tries job = jobs.computeIfAbsent(task.job(), k -> new Tries());
        return failed(now, job.completed ? tasks.computeIfAbsent(task, k -> new Tries()) : job, machine);
    }

    private static boolean failed(long now, Tries t, String machine) {
        if (!suspect(t)) {
            t.machines.add(machine);
        }
        if (!suspect(t)) {
            return false;
        }
        // The tasks that were placed with the first failures end about now, too: they are no new tries.
        if (now >= t.notBefore) {
            t.notBefore = now + (FIRST_PAUSE_MS << Math.min(MOST_DOUBLED, t.tried++));
        }
        return true;
    }

    private static boolean suspect(Tries t) {
        return !t.completed && t.machines.size() >= SUSPECT;
    }

    /** Whether the job itself seems to be at fault. */
    boolean isSuspect(String job) {
        Tries t = jobs.get(job);
        return t != null && suspect(t);
    }

    /** Whether the task fails by its own fault or its job's. */
    boolean isSuspect(TaskId task) {
        Tries t = tasks.get(task);
        return isSuspect(task.job()) || t != null && suspect(t);
    }

    /** Whether others of the job's tasks completed, so that a failure says something about the machine. */
    boolean isSound(String job) {
        Tries t = jobs.get(job);
        return t != null && t.completed;
    }

    boolean mayStart(long now, TaskId task) {
        Tries t = tasks.get(task);
        return t == null || now >= t.notBefore;
    }

    /** How many tasks of the job may be started now, when so many are placed. */
    int mayPlace(long now, String job, int placed) {
        Tries t = jobs.get(job);
        return t == null || !suspect(t)
                ? Integer.MAX_VALUE
                : now < t.notBefore ? 0 : Math.max(0, TRIED_AT_ONCE - placed);
    }

    /** Jobs that seem to be at fault, in their names' order. */
    Set<String> suspects() {
        Set<String> found = new TreeSet<>();
        jobs.forEach((job, t) -> {
            if (suspect(t)) {
                found.add(job);
            }
        });
        return found;
    }

    /** Forgets jobs that are over. */
    void retain(Predicate<String> live) {
        jobs.keySet().removeIf(live.negate());
        tasks.keySet().removeIf(t -> !live.test(t.job()));
    }
}

package garnetscale.core.leader;

import garnetscale.core.Times;
import garnetscale.core.job.TaskId;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Tells jobs that fail by their own fault from faulty machines, by who else succeeds. A job that fails on several machines and
 * completes nothing is quarantined, and its failures are held against none of the machines, neither those to come nor those from
 * before: two bad submissions that are spread over a fleet would otherwise take all of it out of service. A quarantined job is
 * retried ever more rarely, with a task at a time, until one of its tasks completes or its user cancels it. Of a job that has
 * completed tasks, single tasks are quarantined in the same way.
 */
final class FailureTracker {

    /** Machines that a job must fail on, without completing a task, before it is quarantined. */
    private static final int MACHINES_TO_QUARANTINE = 3;
    /** Tasks of a quarantined job that may be placed at a time: enough to find out, few enough to cost nothing. */
    private static final int MAX_TRIAL_TASKS = 1;
    /** Attempts whose exits are remembered as evaluated. */
    private static final int MAX_EVALUATED_ATTEMPTS = 4096;
    /** The pause before a quarantined job or task is retried; it doubles with each retry, so many times. */
    private static final long FIRST_PAUSE_MS = 1000;

    private static final int MAX_DOUBLINGS = 5;

    /** The failures of a job, or of a task of a job that has completed others. */
    private static final class FailureHistory {
        final Set<String> machines = new HashSet<>();
        int retries;
        boolean hasCompletedTasks;
        long notBefore = Times.NEVER;

        boolean isQuarantined() {
            return !hasCompletedTasks && machines.size() >= MACHINES_TO_QUARANTINE;
        }
    }

    private final Map<String, FailureHistory> jobs = new HashMap<>();
    /** Failing tasks of jobs that have completed others. */
    private final Map<TaskId, FailureHistory> tasks = new HashMap<>();

    private final Set<Long> evaluatedAttempts = new LinkedHashSet<>();

    /** False when the attempt's exit was evaluated before: a transaction may be drafted several times. */
    boolean isFirstEvaluation(long attempt) {
        if (!evaluatedAttempts.add(attempt)) {
            return false;
        }
        if (evaluatedAttempts.size() > MAX_EVALUATED_ATTEMPTS) {
            Iterator<Long> oldest = evaluatedAttempts.iterator();
            oldest.next();
            oldest.remove();
        }
        return true;
    }

    /** The task completed. */
    void recordCompletion(TaskId task) {
        tasks.remove(task);
        recordCompletion(task.job());
    }

    /** Some task of the job completed, whoever saw it. */
    void recordCompletion(String job) {
        FailureHistory history = jobs.computeIfAbsent(job, id -> new FailureHistory());
        history.hasCompletedTasks = true;
        history.machines.clear();
        history.notBefore = Times.NEVER;
    }

    /** Records a failure on a machine; true when the job or the task, rather than the machine, is at fault from now on. */
    boolean recordFailure(long now, TaskId task, String machine) {
        FailureHistory ofJob = jobs.computeIfAbsent(task.job(), id -> new FailureHistory());
        FailureHistory history =
                ofJob.hasCompletedTasks ? tasks.computeIfAbsent(task, id -> new FailureHistory()) : ofJob;
        if (!history.isQuarantined()) {
            history.machines.add(machine);
        }
        if (!history.isQuarantined()) {
            return false;
        }
        // The tasks that were placed with the first failures end about now, too: they are no retries.
        if (now >= history.notBefore) {
            history.notBefore = now + (FIRST_PAUSE_MS << Math.min(MAX_DOUBLINGS, history.retries++));
        }
        return true;
    }

    /** Whether the job itself seems to be at fault. */
    boolean isQuarantined(String job) {
        FailureHistory history = jobs.get(job);
        return history != null && history.isQuarantined();
    }

    /** Whether the task fails by its own fault or its job's. */
    boolean isQuarantined(TaskId task) {
        FailureHistory history = tasks.get(task);
        return isQuarantined(task.job()) || history != null && history.isQuarantined();
    }

    /** Whether others of the job's tasks completed, so that a failure says something about the machine. */
    boolean hasCompletedTasks(String job) {
        FailureHistory history = jobs.get(job);
        return history != null && history.hasCompletedTasks;
    }

    /** Whether the task's pause after its last failure is over. */
    boolean mayStart(long now, TaskId task) {
        FailureHistory history = tasks.get(task);
        return history == null || now >= history.notBefore;
    }

    /** How many tasks of the job may be placed now, when {@code placed} of them are already. */
    int allowedPlacements(long now, String job, int placed) {
        FailureHistory history = jobs.get(job);
        if (history == null || !history.isQuarantined()) {
            return Integer.MAX_VALUE;
        }
        return now < history.notBefore ? 0 : Math.max(0, MAX_TRIAL_TASKS - placed);
    }

    /** Quarantined jobs, in the order of their names. */
    Set<String> quarantinedJobs() {
        Set<String> quarantined = new TreeSet<>();
        jobs.forEach((job, history) -> {
            if (history.isQuarantined()) {
                quarantined.add(job);
            }
        });
        return quarantined;
    }

    /** Forgets jobs other than those that are still stored. */
    void retain(Predicate<String> isStored) {
        jobs.keySet().removeIf(isStored.negate());
        tasks.keySet().removeIf(task -> !isStored.test(task.job()));
    }
}

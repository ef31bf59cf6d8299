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
 * Distinguishes jobs that fail by their own fault from jobs that fail because of faulty machines, by whether other tasks
 * succeed. A job that fails on several machines and completes no task is quarantined. Its failures, past and future, are then
 * not counted against any machine; otherwise two faulty submissions spread over a fleet would take all of it out of service.
 *
 * <p>A quarantined job is retried one task at a time, at growing intervals, until one of its tasks completes or its user
 * cancels it. If a job has completed tasks, single tasks of it are quarantined in the same way.
 */
final class FailureTracker {

    /**
     * Machines that a job must fail on, without completing a task, before it is quarantined. Where fewer machines fit the job, it
     * must fail on all of them.
     */
    private static final int MACHINES_TO_QUARANTINE = 3;
    /**
     * Tasks of a quarantined job that may be placed at a time: enough to find out whether it still fails, and few enough to
     * cost nothing.
     */
    private static final int MAX_TRIAL_TASKS = 1;
    /** Maximum number of attempts whose exits are remembered as evaluated. */
    private static final int MAX_EVALUATED_ATTEMPTS = 4096;
    /** Backoff before a quarantined job or task is first retried. It doubles with each retry. */
    private static final long INITIAL_BACKOFF_MS = 1000;
    /** Maximum number of times that the backoff doubles. */
    private static final int MAX_BACKOFF_DOUBLINGS = 5;

    /** Failures of a job, or of a task of a job that has completed others. */
    private static final class FailureHistory {
        /** Machines on which the job or task has failed. */
        final Set<String> machines = new HashSet<>();
        /** Number of machines at which the job or task is quarantined. */
        int machinesToQuarantine = MACHINES_TO_QUARANTINE;

        int retries;
        boolean hasCompletedTasks;
        /** End of the current backoff, in milliseconds of the steady clock, or {@link Times#NEVER} if there was none. */
        long retryAt = Times.NEVER;

        boolean isQuarantined() {
            return !hasCompletedTasks && machines.size() >= machinesToQuarantine;
        }
    }

    private final Map<String, FailureHistory> jobs = new HashMap<>();
    /** Failures of single tasks, of jobs that have completed others. */
    private final Map<TaskId, FailureHistory> tasks = new HashMap<>();

    private final Set<Long> evaluatedAttempts = new LinkedHashSet<>();

    /**
     * Returns whether this is the first evaluation of the attempt's exit, and remembers that it is evaluated. An exit may come
     * up again, because a transaction may be drafted several times.
     */
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

    /** Records that the task completed. */
    void recordCompletion(TaskId task) {
        tasks.remove(task);
        recordCompletion(task.job());
    }

    /** Records that some task of the job completed, under this leader or an earlier one. */
    void recordCompletion(String job) {
        FailureHistory history = jobs.computeIfAbsent(job, id -> new FailureHistory());
        history.hasCompletedTasks = true;
        history.machines.clear();
        history.retryAt = Times.NEVER;
    }

    /**
     * Records a failure on a machine. Returns whether the job or the task, rather than the machine, is now considered to be at
     * fault.
     *
     * @param fittingMachines number of available machines that the job fits
     */
    boolean recordFailure(long now, TaskId task, String machine, int fittingMachines) {
        FailureHistory ofJob = jobs.computeIfAbsent(task.job(), id -> new FailureHistory());
        ofJob.machinesToQuarantine = Math.max(1, Math.min(MACHINES_TO_QUARANTINE, fittingMachines));
        FailureHistory history =
                ofJob.hasCompletedTasks ? tasks.computeIfAbsent(task, id -> new FailureHistory()) : ofJob;
        if (!history.isQuarantined()) {
            history.machines.add(machine);
        }
        if (!history.isQuarantined()) {
            return false;
        }
        // Tasks that were placed together with the first failing ones end about now too. They are not retries.
        if (now >= history.retryAt) {
            history.retryAt = now + (INITIAL_BACKOFF_MS << Math.min(MAX_BACKOFF_DOUBLINGS, history.retries++));
        }
        return true;
    }

    /** Returns whether the job itself seems to be at fault. */
    boolean isQuarantined(String job) {
        FailureHistory history = jobs.get(job);
        return history != null && history.isQuarantined();
    }

    /** Returns whether the task or its job seems to be at fault. */
    boolean isQuarantined(TaskId task) {
        FailureHistory history = tasks.get(task);
        return isQuarantined(task.job()) || history != null && history.isQuarantined();
    }

    /**
     * Returns whether tasks of the job have completed, in which case a failure of another one says something about the machine.
     */
    boolean hasCompletedTasks(String job) {
        FailureHistory history = jobs.get(job);
        return history != null && history.hasCompletedTasks;
    }

    /**
     * Returns whether the task itself isn't in backoff. The backoff of its job is applied by {@link #allowedPlacements}.
     */
    boolean mayStart(long now, TaskId task) {
        FailureHistory history = tasks.get(task);
        return history == null || now >= history.retryAt;
    }

    /**
     * Returns how many more tasks of the job may be placed now, or {@link Integer#MAX_VALUE} if the job isn't quarantined.
     *
     * @param placed number of tasks of the job that are placed already
     */
    int allowedPlacements(long now, String job, int placed) {
        FailureHistory history = jobs.get(job);
        if (history == null || !history.isQuarantined()) {
            return Integer.MAX_VALUE;
        }
        return now < history.retryAt ? 0 : Math.max(0, MAX_TRIAL_TASKS - placed);
    }

    /** Returns the quarantined jobs, sorted by id. */
    Set<String> quarantinedJobs() {
        Set<String> quarantined = new TreeSet<>();
        jobs.forEach((job, history) -> {
            if (history.isQuarantined()) {
                quarantined.add(job);
            }
        });
        return quarantined;
    }

    /** Forgets jobs that are no longer stored. */
    void retain(Predicate<String> isStored) {
        jobs.keySet().removeIf(isStored.negate());
        tasks.keySet().removeIf(task -> !isStored.test(task.job()));
    }
}

package garnetscale.core.sim;

import garnetscale.core.job.JobSpec;
import garnetscale.core.job.TaskId;
import garnetscale.emulator.WorkerModel;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.stream.IntStream;

/** Checks PROTOCOL's rules against what the workers really run, independently of the state that the controllers hold. */
final class ProtocolRules implements WorkerModel.TaskListener {

    final List<String> violations = new ArrayList<>();
    final Map<String, JobSpec> jobs = new HashMap<>();
    private final Map<TaskId, String> running = new HashMap<>();
    private final Map<String, Long> cancelledAt = new HashMap<>();
    /** The state that was last reported to a user, by job. */
    private final Map<String, String> reportedStates = new HashMap<>();

    private final Set<TaskId> completed = new HashSet<>();
    private final Set<Long> startedAttempts = new HashSet<>();
    private final LeftWaitingRule leftWaiting = new LeftWaitingRule();
    private final Map<String, Double> limits;
    private final long cancelMs;
    private final LongSupplier clock;
    private final Map<String, String> zones;
    /** Tests whether a placement of an attempt on a machine is stored; no attempt may start without its placement. */
    BiPredicate<String, Long> hasPlacement = (machine, attempt) -> true;
    /** Receives each task that started to run, with its machine. */
    BiConsumer<String, TaskId> onStarted = (machine, task) -> {};
    /** Receives each task that completed. */
    Consumer<TaskId> onCompleted = task -> {};

    int starts;
    /** Number of starts of tasks whose job was already cancelled, within the cancellation deadline or after it. */
    int startsAfterCancel;
    /** Number of starts by job. */
    final Map<String, Integer> startsByJob = new HashMap<>();

    /**
     * Creates rules for a cluster without jobs.
     *
     * @param limits   CPU limit by team
     * @param zones    zone by machine; machines may be added later
     * @param cancelMs the cancellation deadline in milliseconds
     * @param clock    the simulated time in milliseconds
     */
    ProtocolRules(Map<String, Double> limits, Map<String, String> zones, long cancelMs, LongSupplier clock) {
        this.limits = limits;
        this.zones = zones;
        this.cancelMs = cancelMs;
        this.clock = clock;
    }

    private void violated(String rule, String details) {
        violations.add(clock.getAsLong() + " " + rule + ": " + details);
    }

    @Override
    public void onStarted(String machine, TaskId task, long attempt) {
        starts++;
        startsByJob.merge(task.job(), 1, Integer::sum);
        onStarted.accept(machine, task);
        String before = running.put(task, machine);
        if (before != null) {
            violated("ran_twice", task + " starts on " + machine + " while on " + before);
        }
        if (!startedAttempts.add(attempt)) {
            violated("started_again", task + " starts again on " + machine + " as attempt " + attempt);
        }
        if (!hasPlacement.test(machine, attempt)) {
            violated("unplaced", task + " starts on " + machine + " as attempt " + attempt);
        }
        JobSpec job = jobs.get(task.job());
        double used = 0;
        for (TaskId other : running.keySet()) {
            JobSpec otherJob = jobs.get(other.job());
            used += otherJob.team().equals(job.team()) ? otherJob.cpus() : 0;
            if (job.zoneAffinity()
                    && other.job().equals(task.job())
                    && !zones.get(running.get(other)).equals(zones.get(machine))) {
                violated(
                        "wrong_place",
                        task + " starts on " + machine + " while " + other + " is on " + running.get(other));
            }
        }
        if (used > limits.get(job.team()) + 1e-6) {
            violated("quota", job.team() + " uses " + used);
        }
        Long cancelled = cancelledAt.get(task.job());
        startsAfterCancel += cancelled != null ? 1 : 0;
        if (cancelled != null && clock.getAsLong() - cancelled > cancelMs) {
            violated("ran_cancelled", task + " starts");
        }
    }

    @Override
    public void onEnded(String machine, TaskId task, long attempt, boolean done) {
        running.remove(task, machine);
        if (done) {
            completed.add(task);
            onCompleted.accept(task);
        }
    }

    /** Returns a copy of the tasks that run now, with their machines. */
    Map<TaskId, String> running() {
        return Collections.unmodifiableMap(new HashMap<>(running));
    }

    boolean isCancelled(String job) {
        return cancelledAt.containsKey(job);
    }

    /** Returns whether the task has completed on any machine. */
    boolean hasCompleted(TaskId task) {
        return completed.contains(task);
    }

    /** Returns whether every task of the job has completed on any machine. */
    boolean isComplete(String job) {
        return IntStream.range(0, jobs.get(job).tasks()).allMatch(i -> completed.contains(new TaskId(job, i)));
    }

    /** Returns the CPUs that the running tasks of a team use. */
    double used(String team) {
        return running.keySet().stream()
                .map(task -> jobs.get(task.job()))
                .filter(job -> job.team().equals(team))
                .mapToDouble(JobSpec::cpus)
                .sum();
    }

    /**
     * Records a job state that was reported to a user. A terminal state must not change afterwards, and all tasks of a job that
     * is reported done must have completed.
     */
    void onStateReported(String job, String state) {
        String before = reportedStates.put(job, state);
        if (before != null && !before.equals(state) && !before.equals("LIVE")) {
            violated("went_back", job + " from " + before + " to " + state);
        }
        if (state.equals("CANCELLED")) {
            cancelledAt.putIfAbsent(job, clock.getAsLong());
        }
        if (state.equals("DONE")) {
            for (int i = 0; i < jobs.get(job).tasks(); i++) {
                if (!completed.contains(new TaskId(job, i))) {
                    violated("not_done", job + " without task " + i);
                    return;
                }
            }
        }
    }

    /**
     * Checks that no job is left waiting beside a machine with room; see {@link LeftWaitingRule}. Call this regularly.
     *
     * @param areTroublesOver whether all failures that were injected so far are over
     * @param workers the workers of all machines
     * @param failingJobs jobs that were submitted with a mistake; their tasks fail on every machine
     */
    void checkWaitingJobs(boolean areTroublesOver, List<WorkerModel> workers, Set<String> failingJobs) {
        if (!areTroublesOver) {
            leftWaiting.onTrouble();
            return;
        }
        List<WorkerModel> machines =
                workers.stream().filter(worker -> !worker.hasEvictionNotice()).toList();
        for (JobSpec job : jobs.values()) {
            boolean waits = !failingJobs.contains(job.id())
                    && !isCancelled(job.id())
                    && machines.stream().noneMatch(machine -> machine.holdsTaskOf(job.id()))
                    && !isComplete(job.id())
                    && used(job.team()) + job.cpus() <= limits.get(job.team());
            if (!waits) {
                leftWaiting.onNotWaiting(job.id());
                continue;
            }
            String machine = leftWaiting.onWaiting(clock.getAsLong(), job, machines, model -> zones.get(model.id()));
            if (machine != null) {
                violated("left_waiting", job.id() + " beside " + machine);
            }
        }
    }

    /** Checks that no task of a cancelled job still runs after the cancellation deadline. */
    void checkCancellations() {
        for (TaskId task : running.keySet()) {
            Long cancelled = cancelledAt.get(task.job());
            if (cancelled != null && clock.getAsLong() - cancelled > cancelMs) {
                violated("ran_cancelled", task + " is on " + running.get(task));
            }
        }
    }
}

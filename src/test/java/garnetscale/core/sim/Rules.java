package garnetscale.core.sim;

import garnetscale.core.job.JobSpec;
import garnetscale.core.job.TaskId;
import garnetscale.standin.WorkerModel;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;

/** PROTOCOL's rules, watched from outside: what truly runs where, whatever the controllers believe. */
final class Rules implements WorkerModel.Watcher {

    final List<String> broken = new ArrayList<>();
    final Map<String, JobSpec> jobs = new HashMap<>();
    private final Map<TaskId, String> running = new HashMap<>();
    private final Map<TaskId, Long> began = new HashMap<>();
    private final Map<String, Long> cancelledAt = new HashMap<>();
    private final Map<String, String> told = new HashMap<>();
    private final Set<TaskId> completed = new HashSet<>();
    private final Map<String, Double> limits;
    private final long cancelMs;
    private final LongSupplier clock;
    int starts;
    /** Starts by job. */
    final Map<String, Integer> startsOf = new HashMap<>();

    Rules(Map<String, Double> limits, long cancelMs, LongSupplier clock) {
        this.limits = limits;
        this.cancelMs = cancelMs;
        this.clock = clock;
    }

    private void broke(String rule, String what) {
        broken.add(clock.getAsLong() + " " + rule + ": " + what);
    }

    @Override
    public void began(String machine, TaskId task, long attempt) {
        starts++;
        startsOf.merge(task.job(), 1, Integer::sum);
        String other = running.put(task, machine);
        if (other != null) {
            broke("ran_twice", task + " starts on " + machine + " while on " + other);
        }
        began.put(task, clock.getAsLong());
        JobSpec job = jobs.get(task.job());
        double used = 0;
        for (TaskId t : running.keySet()) {
            JobSpec j = jobs.get(t.job());
            used += j.team().equals(job.team()) ? j.cpus() : 0;
        }
        if (used > limits.get(job.team()) + 1e-6) {
            broke("quota", job.team() + " uses " + used);
        }
        Long cancelled = cancelledAt.get(task.job());
        if (cancelled != null && clock.getAsLong() - cancelled > cancelMs) {
            broke("ran_cancelled", task + " starts");
        }
    }

    @Override
    public void ended(String machine, TaskId task, long attempt, boolean done) {
        running.remove(task, machine);
        if (done) {
            completed.add(task);
        }
    }

    /** A user was told of a state; it may never be gone back on. */
    void told(String job, String state) {
        String before = told.put(job, state);
        if (before != null && !before.equals(state) && !before.equals("LIVE")) {
            broke("went_back", job + " from " + before + " to " + state);
        }
        if (state.equals("CANCELLED")) {
            cancelledAt.putIfAbsent(job, clock.getAsLong());
        }
        if (state.equals("DONE")) {
            for (int i = 0; i < jobs.get(job).tasks(); i++) {
                if (!completed.contains(new TaskId(job, i))) {
                    broke("not_done", job + " without task " + i);
                    return;
                }
            }
        }
    }

    /** What must hold at any moment. */
    void check() {
        for (TaskId t : running.keySet()) {
            Long cancelled = cancelledAt.get(t.job());
            if (cancelled != null && clock.getAsLong() - cancelled > cancelMs) {
                broke("ran_cancelled", t + " is on " + running.get(t));
            }
        }
    }
}

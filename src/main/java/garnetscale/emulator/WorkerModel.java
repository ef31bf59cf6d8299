package garnetscale.emulator;

import garnetscale.core.job.JobSpec;
import garnetscale.core.job.TaskId;
import garnetscale.core.machine.ExitCause;
import garnetscale.core.machine.FreeCapacity;
import garnetscale.core.machine.MachineType;
import garnetscale.core.machine.TaskState;
import garnetscale.core.machine.TaskStatus;
import garnetscale.core.machine.WorkerCommand;
import garnetscale.core.machine.WorkerHeartbeat;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;

/** A worker by its published protocol, with the time handed in: tokens, sessions, tasks and leases. */
public final class WorkerModel {

    /** Told of every start and end of a task on this machine, so that a test can watch the rules. */
    public interface Watcher {
        void began(String machine, TaskId task, long attempt);

        void ended(String machine, TaskId task, long attempt, boolean completed);
    }

    private static final class Running {
        final TaskId id;
        final long attempt;
        TaskState state;
        ExitCause cause;
        long until;

        Running(TaskId id, long attempt, TaskState state, long until) {
            this.id = id;
            this.attempt = attempt;
            this.state = state;
            this.until = until;
        }
    }

    private final String id;
    private final String address;
    private final MachineType type;
    private final String zone;
    private final long leaseMs;
    private final Function<String, JobSpec> jobs;
    private final Watcher watcher;
    private final Map<Long, Running> tasks = new LinkedHashMap<>();
    private final Set<String> images = new HashSet<>();
    private final Set<TaskId> results = new HashSet<>();
    private long agentEpoch = 1;
    private long tick;
    private long fencingToken;
    private long leaseFrom;
    private double slowness = 1;
    private Predicate<TaskId> fails = t -> false;
    private Double evictionNoticeS;

    public WorkerModel(
            String id,
            String address,
            MachineType type,
            String zone,
            long leaseMs,
            long now,
            Function<String, JobSpec> jobs,
            Watcher watcher) {
        this.id = id;
        this.address = address;
        this.type = type;
        this.zone = zone;
        this.leaseMs = leaseMs;
        this.leaseFrom = now;
        this.jobs = jobs;
        this.watcher = watcher;
    }

    /** Makes tasks that begin from now on take so many times as long. */
    public void slowDown(double times) {
        slowness = times;
    }

    /** Reports from now on that the cloud takes the machine in so many seconds. */
    public void evictionNotice(double seconds) {
        evictionNoticeS = seconds;
    }

    /** Has tasks end in error once they have their image. */
    public void fail(Predicate<TaskId> which) {
        fails = which;
    }

    public long agentEpoch() {
        return agentEpoch;
    }

    public String id() {
        return id;
    }

    /** Ends the session if its lease is over; that holds for a machine that stands still, too. */
    public void expire(long now) {
        if (now - leaseFrom > leaseMs) {
            tasks.values().forEach(t -> ended(t, false));
            tasks.clear();
            agentEpoch++;
            leaseFrom = now;
        }
    }

    /** Lets time pass: fetches and runs end, and a lease that wasn't renewed ends the session. */
    public void advance(long now) {
        expire(now);
        for (Running t : tasks.values()) {
            JobSpec job = jobs.apply(t.id.job());
            if (t.state == TaskState.FETCHING && now >= t.until) {
                images.add(job.image());
                t.state = TaskState.RUNNING;
                t.until = now + (results.contains(t.id) ? 0 : Math.round(job.estimateS() * 1000 * slowness));
                watcher.began(id, t.id, t.attempt);
                if (fails.test(t.id)) {
                    exit(t, ExitCause.ERROR);
                }
            }
            if (t.state == TaskState.RUNNING && now >= t.until) {
                results.add(t.id);
                exit(t, ExitCause.DONE);
            }
        }
    }

    /** Goes on after the machine stood still: its tasks weren't executed meanwhile. */
    public void goOn(long now, long stoodStillMs) {
        tasks.values().forEach(t -> t.until += stoodStillMs);
        advance(now);
    }

    private void exit(Running t, ExitCause cause) {
        ended(t, cause == ExitCause.DONE);
        t.state = TaskState.EXITED;
        t.cause = cause;
    }

    private void ended(Running t, boolean completed) {
        if (t.state == TaskState.RUNNING) {
            watcher.ended(id, t.id, t.attempt, completed);
        }
    }

    /** A fresh report. */
    public WorkerHeartbeat heartbeat() {
        List<TaskStatus> list = new ArrayList<>();
        tasks.values().forEach(t -> list.add(new TaskStatus(t.id, t.attempt, t.state, t.cause, false)));
        return new WorkerHeartbeat(
                id, address, type.name(), zone, false, agentEpoch, ++tick, fencingToken, evictionNoticeS, list);
    }

    /** The answer to a report that was sent at {@code sentAt} in session {@code heartbeatEpoch}. */
    public void answered(long now, long sentAt, long heartbeatEpoch, long answerToken, List<WorkerCommand> commands) {
        advance(now);
        if (heartbeatEpoch != agentEpoch || answerToken < fencingToken) {
            return;
        }
        fencingToken = answerToken;
        leaseFrom = Math.max(leaseFrom, sentAt);
        commands.forEach(o -> execute(now, o));
    }

    /** A direct command; false (409) when its token or session is not the present one. */
    public boolean command(long now, long commandToken, long commandShift, List<WorkerCommand> commands) {
        advance(now);
        if (commandToken < fencingToken || commandShift != agentEpoch) {
            return false;
        }
        fencingToken = commandToken;
        commands.forEach(o -> execute(now, o));
        return true;
    }

    private void execute(long now, WorkerCommand order) {
        Running t = tasks.get(order.attempt());
        if (order instanceof WorkerCommand.Clear) {
            if (t != null && t.state == TaskState.EXITED) {
                tasks.remove(order.attempt());
            }
        } else if (order instanceof WorkerCommand.Stop) {
            if (t != null && t.state != TaskState.EXITED) {
                exit(t, ExitCause.STOPPED);
            }
        } else if (t == null) {
            start(now, order);
        }
    }

    private void start(long now, WorkerCommand order) {
        JobSpec job = jobs.apply(order.task().job());
        Running t = new Running(order.task(), order.attempt(), TaskState.FETCHING, now);
        tasks.put(order.attempt(), t);
        boolean busy =
                tasks.values().stream().anyMatch(o -> o != t && o.id.equals(t.id) && o.state != TaskState.EXITED);
        if (job == null) {
            exit(t, ExitCause.UNKNOWN_TASK);
        } else if (busy) {
            exit(t, ExitCause.BUSY);
        } else if (!fits(t, job)) {
            exit(t, ExitCause.NO_ROOM);
        } else if (!images.contains(job.image())) {
            t.until = now + Math.round(job.imageGb() / type.fetchGbPerS() * 1000);
        }
        advance(now);
    }

    private boolean fits(Running mine, JobSpec job) {
        FreeCapacity room = new FreeCapacity(type);
        for (Running t : tasks.values()) {
            if (t != mine && t.state != TaskState.EXITED) {
                room.take(jobs.apply(t.id.job()));
            }
        }
        return room.fits(job);
    }
}

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

/** A worker by its published protocol, with the time passed in: fencing tokens, agent epochs, tasks and leases. */
public final class WorkerModel {

    /** Observes every start and end of a task on this machine, so that a test can check the rules. */
    public interface Watcher {
        /** A task started to run. */
        void began(String machine, TaskId task, long attempt);

        /** A task stopped running; {@code completed} if it was done. */
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
    private Predicate<TaskId> fails = task -> false;
    private Double evictionNoticeS;

    /**
     * Creates a worker in its first epoch, with a full lease from {@code now} on.
     *
     * @param jobs the specification of a job by its id, null if there is no such job
     */
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

    /** Reports from now on that the cloud evicts the machine in so many seconds. */
    public void evictionNotice(double seconds) {
        evictionNoticeS = seconds;
    }

    /** Has tasks end in error once they have their image. */
    public void fail(Predicate<TaskId> which) {
        fails = which;
    }

    /** The present agent epoch; it rises whenever the lease expires. */
    public long agentEpoch() {
        return agentEpoch;
    }

    /** The name of the machine. */
    public String id() {
        return id;
    }

    /** Starts a new agent epoch, without tasks, if the lease has expired; that holds for a machine that is paused, too. */
    public void expire(long now) {
        if (now - leaseFrom > leaseMs) {
            tasks.values().forEach(task -> ended(task, false));
            tasks.clear();
            agentEpoch++;
            leaseFrom = now;
        }
    }

    /** Lets time pass: image fetches and tasks end, and a lease that wasn't renewed expires. */
    public void advance(long now) {
        expire(now);
        for (Running task : tasks.values()) {
            JobSpec job = jobs.apply(task.id.job());
            if (task.state == TaskState.FETCHING && now >= task.until) {
                images.add(job.image());
                task.state = TaskState.RUNNING;
                task.until = now + (results.contains(task.id) ? 0 : Math.round(job.estimateS() * 1000 * slowness));
                watcher.began(id, task.id, task.attempt);
                if (fails.test(task.id)) {
                    exit(task, ExitCause.ERROR);
                }
            }
            if (task.state == TaskState.RUNNING && now >= task.until) {
                results.add(task.id);
                exit(task, ExitCause.DONE);
            }
        }
    }

    /** Resumes after the machine was paused: its tasks didn't run meanwhile. */
    public void goOn(long now, long stoodStillMs) {
        tasks.values().forEach(task -> task.until += stoodStillMs);
        advance(now);
    }

    private void exit(Running task, ExitCause cause) {
        ended(task, cause == ExitCause.DONE);
        task.state = TaskState.EXITED;
        task.cause = cause;
    }

    private void ended(Running task, boolean completed) {
        if (task.state == TaskState.RUNNING) {
            watcher.ended(id, task.id, task.attempt, completed);
        }
    }

    /** A new heartbeat, of the status as it is now. */
    public WorkerHeartbeat heartbeat() {
        List<TaskStatus> list = new ArrayList<>();
        tasks.values().forEach(task -> list.add(new TaskStatus(task.id, task.attempt, task.state, task.cause, false)));
        return new WorkerHeartbeat(
                id, address, type.name(), zone, false, agentEpoch, ++tick, fencingToken, evictionNoticeS, list);
    }

    /** Takes in the answer to a heartbeat that was sent at {@code sentAt} in {@code heartbeatEpoch}. */
    public void answered(long now, long sentAt, long heartbeatEpoch, long answerToken, List<WorkerCommand> commands) {
        advance(now);
        if (heartbeatEpoch != agentEpoch || answerToken < fencingToken) {
            return;
        }
        fencingToken = answerToken;
        leaseFrom = Math.max(leaseFrom, sentAt);
        commands.forEach(command -> execute(now, command));
    }

    /** Carries out direct commands; false (409) if their fencing token or agent epoch isn't the present one. */
    public boolean command(long now, long commandToken, long commandEpoch, List<WorkerCommand> commands) {
        advance(now);
        if (commandToken < fencingToken || commandEpoch != agentEpoch) {
            return false;
        }
        fencingToken = commandToken;
        commands.forEach(command -> execute(now, command));
        return true;
    }

    private void execute(long now, WorkerCommand command) {
        Running task = tasks.get(command.attempt());
        if (command instanceof WorkerCommand.Clear) {
            if (task != null && task.state == TaskState.EXITED) {
                tasks.remove(command.attempt());
            }
        } else if (command instanceof WorkerCommand.Stop) {
            if (task != null && task.state != TaskState.EXITED) {
                exit(task, ExitCause.STOPPED);
            }
        } else if (task == null) {
            start(now, command);
        }
    }

    private void start(long now, WorkerCommand command) {
        JobSpec job = jobs.apply(command.task().job());
        Running task = new Running(command.task(), command.attempt(), TaskState.FETCHING, now);
        tasks.put(command.attempt(), task);
        boolean busy = tasks.values().stream()
                .anyMatch(other -> other != task && other.id.equals(task.id) && other.state != TaskState.EXITED);
        if (job == null) {
            exit(task, ExitCause.UNKNOWN_TASK);
        } else if (busy) {
            exit(task, ExitCause.BUSY);
        } else if (!fits(task, job)) {
            exit(task, ExitCause.NO_ROOM);
        } else if (!images.contains(job.image())) {
            task.until = now + Math.round(job.imageGb() / type.fetchGbPerS() * 1000);
        }
        advance(now);
    }

    private boolean fits(Running mine, JobSpec job) {
        FreeCapacity free = new FreeCapacity(type);
        for (Running task : tasks.values()) {
            if (task != mine && task.state != TaskState.EXITED) {
                free.take(jobs.apply(task.id.job()));
            }
        }
        return free.fits(job);
    }
}

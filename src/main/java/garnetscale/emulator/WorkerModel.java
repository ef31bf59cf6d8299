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

/**
 * A model of a worker by its published protocol: fencing tokens, agent epochs, tasks and leases. Callers pass in the time in
 * milliseconds.
 */
public final class WorkerModel {

    /** A listener for the starts and ends of tasks on a machine, with which a test can check the protocol's rules. */
    public interface TaskListener {
        /** Called when a task has started to run. */
        void onStarted(String machine, TaskId task, long attempt);

        /**
         * Called when a task has stopped running.
         *
         * @param completed false if the task was stopped or failed, or if the worker's lease expired
         */
        void onEnded(String machine, TaskId task, long attempt, boolean completed);
    }

    /** One attempt of a task on this machine, in any state. */
    private static final class TaskAttempt {
        final TaskId id;
        final long attempt;
        TaskState state;
        /** Why the attempt ended; null unless the state is {@code EXITED}. */
        ExitCause cause;
        /** When the current state ends without a command, that is, when the image is fetched or the task completes. */
        long endsAt;

        TaskAttempt(TaskId id, long attempt, TaskState state, long endsAt) {
            this.id = id;
            this.attempt = attempt;
            this.state = state;
            this.endsAt = endsAt;
        }
    }

    private final String id;
    private final String address;
    private final MachineType type;
    private final String zone;
    private final long leaseMs;
    private final Function<String, JobSpec> jobs;
    private final TaskListener listener;
    /** Task attempts that the controllers haven't cleared, by attempt number. */
    private final Map<Long, TaskAttempt> tasks = new LinkedHashMap<>();

    private final Set<String> cachedImages = new HashSet<>();
    /** Tasks that have completed on this machine. A further attempt of such a task completes at once. */
    private final Set<TaskId> completedTasks = new HashSet<>();

    private long agentEpoch = 1;
    private long tick;
    private long fencingToken;
    private long leaseStartedAt;
    private double slowdownFactor = 1;
    private Predicate<TaskId> failingTasks = task -> false;
    /** Seconds until the cloud takes the machine away; null if there is no eviction notice. */
    private Double evictionNoticeS;

    /**
     * Creates a worker in its first agent epoch, with a full lease that starts at {@code now}.
     *
     * @param id      the name of the machine
     * @param address host and port of the worker
     * @param leaseMs the duration of the lease
     * @param jobs    returns the specification of a job by its id, or null if the job doesn't exist
     */
    public WorkerModel(
            String id,
            String address,
            MachineType type,
            String zone,
            long leaseMs,
            long now,
            Function<String, JobSpec> jobs,
            TaskListener listener) {
        this.id = id;
        this.address = address;
        this.type = type;
        this.zone = zone;
        this.leaseMs = leaseMs;
        this.leaseStartedAt = now;
        this.jobs = jobs;
        this.listener = listener;
    }

    /** Multiplies the running time of tasks that start from now on by {@code factor}. */
    public void slowDown(double factor) {
        slowdownFactor = factor;
    }

    /** Makes all further heartbeats carry an eviction notice: the cloud takes the machine away in {@code noticeS} seconds. */
    public void announceEviction(double noticeS) {
        evictionNoticeS = noticeS;
    }

    /** Makes the tasks that match end with an error as soon as their image is available. */
    public void failTasks(Predicate<TaskId> matching) {
        failingTasks = matching;
    }

    /** Returns the current agent epoch, which rises each time the lease expires. */
    public long agentEpoch() {
        return agentEpoch;
    }

    /** Returns the name of the machine. */
    public String id() {
        return id;
    }

    /** Returns the machine's type. */
    public MachineType type() {
        return type;
    }

    /** Returns whether the machine has an eviction notice. */
    public boolean hasEvictionNotice() {
        return evictionNoticeS != null;
    }

    /** Returns whether a task of the job is on the machine and hasn't ended. */
    public boolean holdsTaskOf(String job) {
        return tasks.values().stream()
                .anyMatch(
                        task -> task.state != TaskState.EXITED && task.id.job().equals(job));
    }

    /** Returns the capacity that the tasks which haven't ended leave free. */
    public FreeCapacity freeCapacity() {
        FreeCapacity free = new FreeCapacity(type);
        for (TaskAttempt task : tasks.values()) {
            if (task.state != TaskState.EXITED) {
                free.take(jobs.apply(task.id.job()));
            }
        }
        return free;
    }

    /** Starts a new agent epoch without tasks if the lease has expired. The lease of a paused machine also expires. */
    public void expireLease(long now) {
        if (now - leaseStartedAt > leaseMs) {
            tasks.values().forEach(task -> notifyEnded(task, false));
            tasks.clear();
            agentEpoch++;
            leaseStartedAt = now;
        }
    }

    /** Advances the model to {@code now}: ends image fetches and tasks that are due, and expires a lease that wasn't renewed. */
    public void advance(long now) {
        expireLease(now);
        for (TaskAttempt task : tasks.values()) {
            JobSpec job = jobs.apply(task.id.job());
            if (task.state == TaskState.FETCHING && now >= task.endsAt) {
                cachedImages.add(job.image());
                task.state = TaskState.RUNNING;
                task.endsAt = now
                        + (completedTasks.contains(task.id) ? 0 : Math.round(job.estimateS() * 1000 * slowdownFactor));
                listener.onStarted(id, task.id, task.attempt);
                if (failingTasks.test(task.id)) {
                    exit(task, ExitCause.ERROR);
                }
            }
            if (task.state == TaskState.RUNNING && now >= task.endsAt) {
                completedTasks.add(task.id);
                exit(task, ExitCause.DONE);
            }
        }
    }

    /** Resumes a machine that was paused for {@code pausedMs}, during which its tasks didn't run. */
    public void resume(long now, long pausedMs) {
        tasks.values().forEach(task -> task.endsAt += pausedMs);
        advance(now);
    }

    private void exit(TaskAttempt task, ExitCause cause) {
        notifyEnded(task, cause == ExitCause.DONE);
        task.state = TaskState.EXITED;
        task.cause = cause;
    }

    private void notifyEnded(TaskAttempt task, boolean completed) {
        if (task.state == TaskState.RUNNING) {
            listener.onEnded(id, task.id, task.attempt, completed);
        }
    }

    /** Returns a new heartbeat with the current status. */
    public WorkerHeartbeat heartbeat() {
        List<TaskStatus> list = new ArrayList<>();
        tasks.values().forEach(task -> list.add(new TaskStatus(task.id, task.attempt, task.state, task.cause, false)));
        return new WorkerHeartbeat(
                id, address, type.name(), zone, false, agentEpoch, ++tick, fencingToken, evictionNoticeS, list);
    }

    /**
     * Processes the reply to a heartbeat: renews the lease and executes the commands, unless the heartbeat is of an earlier agent
     * epoch or the reply's fencing token is lower than the highest one seen.
     *
     * @param sentAt         when the heartbeat was sent
     * @param heartbeatEpoch the agent epoch in the heartbeat
     * @param replyToken     the fencing token in the reply
     */
    public void onHeartbeatReply(
            long now, long sentAt, long heartbeatEpoch, long replyToken, List<WorkerCommand> commands) {
        advance(now);
        if (heartbeatEpoch != agentEpoch || replyToken < fencingToken) {
            return;
        }
        fencingToken = replyToken;
        leaseStartedAt = Math.max(leaseStartedAt, sentAt);
        commands.forEach(command -> execute(now, command));
    }

    /**
     * Executes commands that a controller sent directly, unless their fencing token is lower than the highest one seen or their
     * agent epoch isn't the current one.
     *
     * @return whether the commands were executed; if not, the request is answered with 409
     */
    public boolean onDirectCommands(long now, long commandToken, long commandEpoch, List<WorkerCommand> commands) {
        advance(now);
        if (commandToken < fencingToken || commandEpoch != agentEpoch) {
            return false;
        }
        fencingToken = commandToken;
        commands.forEach(command -> execute(now, command));
        return true;
    }

    private void execute(long now, WorkerCommand command) {
        TaskAttempt task = tasks.get(command.attempt());
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
        boolean hasRoom = job != null && freeCapacity().fits(job);
        TaskAttempt task = new TaskAttempt(command.task(), command.attempt(), TaskState.FETCHING, now);
        tasks.put(command.attempt(), task);
        boolean busy = tasks.values().stream()
                .anyMatch(other -> other != task && other.id.equals(task.id) && other.state != TaskState.EXITED);
        if (job == null) {
            exit(task, ExitCause.UNKNOWN_TASK);
        } else if (busy) {
            exit(task, ExitCause.BUSY);
        } else if (!hasRoom) {
            exit(task, ExitCause.NO_ROOM);
        } else if (!cachedImages.contains(job.image())) {
            task.endsAt = now + Math.round(job.imageGb() / type.fetchGbPerS() * 1000);
        }
        advance(now);
    }
}

package garnetscale.core.partition;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.machine.Placement;
import garnetscale.core.machine.TaskState;
import garnetscale.core.machine.TaskStatus;
import garnetscale.core.machine.WorkerCommand;
import garnetscale.core.state.JobView;
import garnetscale.core.state.StateReplica;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Compares a machine's newest heartbeat with its stored placements and derives the commands that reconcile the two. Commands
 * are sent with the acknowledgement of a heartbeat, or directly if they can't wait for the next heartbeat. Direct commands
 * are idempotent and may be lost: the acknowledgement of the next heartbeat carries the commands that are still needed.
 */
final class CommandReconciler {

    /** Minimum time between two direct stops of the same attempt, in heartbeat intervals. */
    private static final int STOP_REPEAT_HEARTBEATS = 2;
    /** Factor that is applied to the job's declared checkpoint write time to get the grace of a stop with checkpoint. */
    private static final double CHECKPOINT_GRACE_FACTOR = 1.5;
    /** Seconds added to the grace of a stop with checkpoint, after the factor was applied. */
    private static final double CHECKPOINT_GRACE_EXTRA_S = 1;

    private final SchedulerConfig config;
    private final StateReplica replica;
    private final DesiredPlacements desired;
    private final WorkerRequestLimiter requests;
    private final List<OwnerEffect> effects;

    CommandReconciler(
            SchedulerConfig config,
            StateReplica replica,
            DesiredPlacements desired,
            WorkerRequestLimiter requests,
            List<OwnerEffect> effects) {
        this.config = config;
        this.replica = replica;
        this.desired = desired;
        this.requests = requests;
        this.effects = effects;
    }

    /**
     * Returns the commands for the acknowledgement of the machine's newest heartbeat, and records the starts among them as
     * sent. Only an acknowledgement carries commands to clear exited attempts.
     */
    List<WorkerCommand> commandsInReply(MachineView machine, OwnedPartition owned) {
        List<WorkerCommand> commands = commandsFor(machine, owned, true);
        for (WorkerCommand command : commands) {
            if (command instanceof WorkerCommand.Start start) {
                machine.fencing.onStartInReply(start.attempt());
            }
        }
        return commands;
    }

    /** Returns the commands that bring the machine from the state in its newest heartbeat to its stored placements. */
    private List<WorkerCommand> commandsFor(MachineView machine, OwnedPartition owned, boolean isReply) {
        List<WorkerCommand> commands = new ArrayList<>();
        Map<Long, Placement> placed = new HashMap<>();
        for (Placement placement : replica.placements(machine.id)) {
            placed.put(placement.attempt(), placement);
        }
        for (TaskStatus task : machine.lastHeartbeat.tasks()) {
            Placement placement = placed.get(task.attempt());
            if (!task.exited()) {
                stopUnlessDesired(task, placement, commands);
            } else if (placement == null && isReply && isStartSuperseded(machine, owned, task.attempt())) {
                commands.add(new WorkerCommand.Clear(task.task(), task.attempt()));
            }
        }
        for (Placement placement : placed.values()) {
            if (needsStart(machine, placement)) {
                commands.add(new WorkerCommand.Start(placement.task(), placement.attempt()));
            }
        }
        return commands;
    }

    private static boolean isStartSuperseded(MachineView machine, OwnedPartition owned, long attempt) {
        return machine.fencing.isStartSuperseded(attempt, machine.lastHeartbeat.fencingToken(), owned.term());
    }

    /**
     * Adds a stop of the task unless the task is to run. {@code placement} is null if the task isn't placed on the machine.
     */
    private void stopUnlessDesired(TaskStatus task, Placement placement, List<WorkerCommand> commands) {
        if (placement != null && desired.isDesired(placement)) {
            return;
        }
        boolean mayWriteCheckpoint = placement != null && placement.stop() == Placement.Stop.CHECKPOINT;
        double graceS = mayWriteCheckpoint ? checkpointGraceS(task) : 0;
        if (task.state() != TaskState.CHECKPOINTING || graceS == 0) {
            commands.add(new WorkerCommand.Stop(task.task(), task.attempt(), graceS));
        }
    }

    private double checkpointGraceS(TaskStatus task) {
        JobView job = replica.job(task.task().job());
        return job == null || !job.isLive() || !job.spec().writesCheckpoints()
                ? 0
                : job.spec().checkpointWriteS() * CHECKPOINT_GRACE_FACTOR + CHECKPOINT_GRACE_EXTRA_S;
    }

    private boolean needsStart(MachineView machine, Placement placement) {
        return desired.isDesired(placement)
                && placement.agentEpoch() == machine.lastHeartbeat.agentEpoch()
                && machine.lastHeartbeat.find(placement.attempt()) == null
                && !machine.terminatedAttempts.contains(placement.attempt())
                && !machine.fencing.isStartInReply(placement.attempt());
    }

    /**
     * Sends the needed commands to the machine directly, unless a command is in flight, the machine may be unreachable, the
     * partition's term has no higher fencing token left, or too many requests to workers are in flight.
     */
    void sendCommands(long now, MachineView machine, OwnedPartition owned) {
        machine.hasPendingWork |= machine.commandInFlight || machine.isUnreachable();
        if (machine.commandInFlight
                || machine.isSilent(now, config.heartbeatIntervalMs())
                || machine.isUnreachable()
                || !machine.fencing.canRaise()) {
            return;
        }
        List<WorkerCommand> commands = commandsFor(machine, owned, false);
        machine.hasPendingWork |= !commands.isEmpty();
        commands.removeIf(command ->
                command instanceof WorkerCommand.Stop && wasStopSentRecently(now, machine, command.attempt()));
        if (commands.isEmpty()) {
            return;
        }
        if (!requests.tryStartCommand()) {
            machine.needsReconcile = true;
            return;
        }
        send(now, machine, commands);
    }

    private boolean wasStopSentRecently(long now, MachineView machine, long attempt) {
        return machine.stopsSentAt.getOrDefault(attempt, 0L)
                > now - STOP_REPEAT_HEARTBEATS * config.heartbeatIntervalMs();
    }

    private void send(long now, MachineView machine, List<WorkerCommand> commands) {
        for (WorkerCommand command : commands) {
            if (command instanceof WorkerCommand.Start) {
                machine.fencing.onDirectStart(command.attempt());
            } else {
                machine.stopsSentAt.put(command.attempt(), now);
            }
        }
        machine.commandInFlight = true;
        effects.add(new OwnerEffect.SendCommands(
                machine.id,
                machine.lastHeartbeat.address(),
                machine.fencing.token(),
                machine.lastHeartbeat.agentEpoch(),
                commands));
    }

    /**
     * Ends the machine's direct command in flight, which was answered or lost.
     *
     * @param machine the machine, or null if it is no longer known
     * @return whether a direct command was in flight to the machine in this term of the partition; if not, the machine is
     *     unaffected
     */
    boolean endCommand(MachineView machine) {
        requests.onCommandEnded();
        if (machine == null || !machine.commandInFlight) {
            return false;
        }
        machine.commandInFlight = false;
        machine.needsReconcile = true;
        return true;
    }

    /**
     * Handles a direct command under {@code fencingToken} that went unanswered and may still arrive, minutes from now. From
     * here on the machine is sent a higher token, and no more commands are sent directly until a heartbeat shows that token.
     *
     * @param machine the machine, or null if it is no longer known
     */
    void onCommandLost(MachineView machine, long fencingToken) {
        if (endCommand(machine)) {
            machine.fencing.onCommandLost(fencingToken);
        }
    }
}

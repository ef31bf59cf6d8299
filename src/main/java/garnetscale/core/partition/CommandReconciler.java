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
 * Compares a machine's newest heartbeat with its stored placements and derives the commands that bring it there. Commands go
 * out with the acknowledgement of a heartbeat, or directly where something can't wait for the next one. Direct commands are
 * idempotent and may be lost: the acknowledgement of the next heartbeat carries what is still to do.
 */
final class CommandReconciler {

    /** A direct stop isn't repeated within so many heartbeat intervals. */
    private static final int STOP_REPEAT_HEARTBEATS = 2;
    /** A stop with checkpoint allows this many times what the job's owner says that writing one takes, ... */
    private static final double CHECKPOINT_GRACE_FACTOR = 1.5;
    /** ... and these seconds more. */
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
     * The commands for the acknowledgement of the machine's newest heartbeat, starts among them noted as sent. Only there a
     * worker is told to clear exited attempts.
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

    /** The commands that bring the machine from its newest heartbeat to what is stored. */
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
            if (isToStart(machine, placement)) {
                commands.add(new WorkerCommand.Start(placement.task(), placement.attempt()));
            }
        }
        return commands;
    }

    private static boolean isStartSuperseded(MachineView machine, OwnedPartition owned, long attempt) {
        return machine.fencing.isStartSuperseded(attempt, machine.lastHeartbeat.fencingToken(), owned.term());
    }

    /** {@code placement} is null for a task that isn't placed on the machine. */
    private void stopUnlessDesired(TaskStatus task, Placement placement, List<WorkerCommand> commands) {
        if (placement != null && desired.isDesired(placement)) {
            return;
        }
        boolean maySave = placement != null && placement.stop() == Placement.Stop.CHECKPOINT;
        double graceS = maySave ? checkpointGraceS(task) : 0;
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

    private boolean isToStart(MachineView machine, Placement placement) {
        return desired.isDesired(placement)
                && placement.agentEpoch() == machine.lastHeartbeat.agentEpoch()
                && machine.lastHeartbeat.find(placement.attempt()) == null
                && !machine.terminatedAttempts.contains(placement.attempt())
                && !machine.fencing.isStartInReply(placement.attempt());
    }

    /** Sends the machine directly what it lacks, unless a command is in flight or it may be out of reach. */
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
        commands.removeIf(
                command -> command instanceof WorkerCommand.Stop && isStopRepeated(now, machine, command.attempt()));
        if (commands.isEmpty()) {
            return;
        }
        if (!requests.tryStartCommand()) {
            machine.needsReconcile = true;
            return;
        }
        send(now, machine, commands);
    }

    private boolean isStopRepeated(long now, MachineView machine, long attempt) {
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
     * The machine's direct command in flight has been answered or is lost.
     *
     * @param machine null if it isn't known any more
     * @return whether the command belongs to this term of the partition; if not, the machine is unaffected
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
     * A direct command under the token went unanswered and may still arrive, minutes from now. From here on the machine gets
     * a higher token, and nothing more is sent directly until a heartbeat shows it. {@code machine} may be null.
     */
    void onCommandLost(MachineView machine, long fencingToken) {
        if (endCommand(machine)) {
            machine.fencing.onCommandLost(fencingToken);
        }
    }
}

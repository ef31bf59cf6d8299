package garnetscale.core.leader;

import garnetscale.core.cluster.PartitionLease;
import garnetscale.core.machine.ExitCause;
import garnetscale.core.machine.Placement;
import garnetscale.core.machine.TaskStatus;
import garnetscale.core.partition.MachineStatus;
import garnetscale.core.state.JobView;
import garnetscale.core.state.StateReplica;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.agrona.collections.Long2ObjectHashMap;

/**
 * Frees placements and records tasks as finished once there is proof that an attempt has ended: its exit, the owner's proof of
 * its termination, or the cloud's confirmation that its machine is terminated (docs/design.md, "Safety"). The silence of a
 * machine proves nothing.
 */
final class ExitRecorder {

    /**
     * The end of an attempt, as published by the partition's owner.
     *
     * @param partitionTerm term of the owner's lease; once the partition has a new term, this report no longer counts
     * @param status        exit of the attempt, or null if it was terminated without one
     */
    private record Exit(String machine, String partition, long partitionTerm, long attempt, TaskStatus status) {}

    private final StateReplica replica;
    private final MachineEvaluator evaluator;
    private final Consumer<String> log;
    /** Reported exits that aren't stored yet, by attempt. */
    private final Long2ObjectHashMap<Exit> exits = new Long2ObjectHashMap<>();
    /** Attempts whose termination the owner has proven, and that aren't freed yet, by attempt. */
    private final Long2ObjectHashMap<Exit> terminated = new Long2ObjectHashMap<>();
    /** Machines that the cloud reports as terminated for good. */
    private final Set<String> terminatedMachines = new HashSet<>();

    ExitRecorder(LeaderContext context, MachineEvaluator evaluator) {
        this.replica = context.replica();
        this.evaluator = evaluator;
        this.log = context.log();
    }

    /** Discards everything at the start of a new term; owners publish again what they know. */
    void clear() {
        exits.clear();
        terminated.clear();
        terminatedMachines.clear();
    }

    /** Remembers the attempts whose termination the owner has proven. */
    void onTerminated(MachineStatus status) {
        for (long attempt : status.terminated()) {
            terminated.put(attempt, new Exit(status.machine(), status.partition(), status.term(), attempt, null));
        }
    }

    /** Remembers the exits that the machine's worker reported. */
    void onExits(MachineStatus status) {
        for (TaskStatus task : status.tasks()) {
            if (task.exited()) {
                exits.put(
                        task.attempt(),
                        new Exit(status.machine(), status.partition(), status.term(), task.attempt(), task));
            }
        }
    }

    /** Handles the cloud's proof that nothing runs on the machine any longer. */
    void onMachineTerminated(String machine) {
        terminatedMachines.add(machine);
    }

    /** Returns whether the cloud has reported the machine as terminated. */
    boolean isTerminated(String machine) {
        return terminatedMachines.contains(machine);
    }

    /**
     * Frees in the draft every placement whose attempt is proven to have ended, and records tasks as finished. Returns false if
     * not everything fits; the rest waits for the next transaction.
     */
    boolean record(long now, TransactionDraft draft) {
        return recordExits(now, draft) && freeTerminatedAttempts(draft) && freeTerminatedMachines(draft);
    }

    private boolean recordExits(long now, TransactionDraft draft) {
        for (Exit exit : oldestFirst(exits)) {
            Placement placement = placement(exit);
            if (placement == null) {
                exits.remove(exit.attempt());
            } else if (isCurrent(exit)) {
                if (!draft.hasRoomForExit()) {
                    return false;
                }
                draft.free(exit.machine(), placement);
                if (exit.status().cause() == ExitCause.DONE) {
                    recordFinished(placement, draft);
                }
                evaluator.onExit(now, exit.machine(), placement, exit.status());
            }
        }
        return true;
    }

    private void recordFinished(Placement placement, TransactionDraft draft) {
        JobView job = replica.job(placement.task().job());
        int index = placement.task().index();
        if (job != null && job.isLive() && index < job.spec().tasks()) {
            draft.finish(job, index);
        }
    }

    private boolean freeTerminatedAttempts(TransactionDraft draft) {
        for (Exit exit : oldestFirst(terminated)) {
            Placement placement = placement(exit);
            if (placement == null) {
                terminated.remove(exit.attempt());
            } else if (isCurrent(exit) && draft.placements(exit.machine()).contains(placement)) {
                if (!draft.hasRoomForExit()) {
                    return false;
                }
                free(exit.machine(), placement, draft);
            }
        }
        return true;
    }

    private boolean freeTerminatedMachines(TransactionDraft draft) {
        for (String machine : terminatedMachines) {
            if (replica.zoneOfMachine(machine) == null) {
                continue;
            }
            if (!draft.hasRoomForExit()) {
                return false;
            }
            for (Placement placement : List.copyOf(draft.placements(machine))) {
                free(machine, placement, draft);
            }
            draft.removeMachine(machine);
        }
        return true;
    }

    private void free(String machine, Placement placement, TransactionDraft draft) {
        draft.free(machine, placement);
        log.accept("freed placement of a terminated task, task=" + placement.task() + " machine=" + machine);
    }

    private static List<Exit> oldestFirst(Long2ObjectHashMap<Exit> exits) {
        List<Exit> sorted = new ArrayList<>(exits.values());
        sorted.sort((first, second) -> Long.compare(first.attempt(), second.attempt()));
        return sorted;
    }

    /** Returns the stored placement of the attempt, or null if it has already been freed. */
    private Placement placement(Exit exit) {
        for (Placement placement : replica.placements(exit.machine())) {
            if (placement.attempt() == exit.attempt()) {
                return placement;
            }
        }
        return null;
    }

    private boolean isCurrent(Exit exit) {
        PartitionLease lease = replica.partition(exit.partition());
        return lease != null && lease.term() == exit.partitionTerm();
    }
}

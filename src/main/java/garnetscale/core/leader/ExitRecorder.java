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
 * Frees placements, and records tasks as finished, once there is proof that an attempt has ended: its exit, its owner's proof of
 * termination, or the cloud's word that its machine is terminated (docs/design.md, "Safety"). A machine that isn't heard of
 * proves nothing.
 */
final class ExitRecorder {

    /**
     * What an owner published of an attempt that ended.
     *
     * @param partitionTerm of the owner's lease; another owner's word counts no more once the partition has a new one
     * @param status        how it exited, or null when it was terminated without an exit
     */
    private record Exit(String machine, String partition, long partitionTerm, long attempt, TaskStatus status) {}

    private final StateReplica replica;
    private final MachineEvaluator evaluator;
    private final Consumer<String> log;
    /** Exits that aren't stored yet, by attempt. */
    private final Long2ObjectHashMap<Exit> exits = new Long2ObjectHashMap<>();
    /** Attempts that their owner has proof of termination of, and that aren't freed yet. */
    private final Long2ObjectHashMap<Exit> terminated = new Long2ObjectHashMap<>();
    /** Machines that the cloud says are terminated for good. */
    private final Set<String> terminatedMachines = new HashSet<>();

    ExitRecorder(LeaderContext context, MachineEvaluator evaluator) {
        this.replica = context.replica();
        this.evaluator = evaluator;
        this.log = context.log();
    }

    /** A new leadership begins: owners publish what they know anew. */
    void clear() {
        exits.clear();
        terminated.clear();
        terminatedMachines.clear();
    }

    /** Notes the attempts that the owner has proof of termination of. */
    void onTerminated(MachineStatus status) {
        for (long attempt : status.terminated()) {
            terminated.put(attempt, new Exit(status.machine(), status.partition(), status.term(), attempt, null));
        }
    }

    /** Notes the exits that the machine's worker listed. */
    void onExits(MachineStatus status) {
        for (TaskStatus task : status.tasks()) {
            if (task.exited()) {
                exits.put(
                        task.attempt(),
                        new Exit(status.machine(), status.partition(), status.term(), task.attempt(), task));
            }
        }
    }

    /** The cloud has proof that nothing is on the machine any more. */
    void onMachineTerminated(String machine) {
        terminatedMachines.add(machine);
    }

    /** Whether the cloud said that the machine is terminated. */
    boolean isTerminated(String machine) {
        return terminatedMachines.contains(machine);
    }

    /** Adds to the draft what is proven; false when it didn't all fit, and the rest waits for the next transaction. */
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

    /** The stored placement of the attempt, or null when it is freed already. */
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

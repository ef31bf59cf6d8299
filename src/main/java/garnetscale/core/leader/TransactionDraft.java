package garnetscale.core.leader;

import garnetscale.core.job.JobSpec;
import garnetscale.core.job.JobState;
import garnetscale.core.machine.MachineType;
import garnetscale.core.machine.Placement;
import garnetscale.core.quota.QuotaUsage;
import garnetscale.core.state.JobView;
import garnetscale.core.state.Keys;
import garnetscale.core.state.LogWriter;
import garnetscale.core.state.MachineRecord;
import garnetscale.core.state.Records;
import garnetscale.core.state.StateReplica;
import garnetscale.core.state.Transaction;
import garnetscale.core.state.WorkLog;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A transaction in the making: changes of placements and of finished tasks on top of the replica. Everything in it is applied at
 * once or not at all, so room and quota that it frees may be used by it. All of it but the ends of jobs goes into one entry of the
 * work logWriter.
 */
final class TransactionDraft {

    /** An image with a longer name isn't recorded: a few of them would fill a machine's record. */
    private static final int MAX_IMAGE_NAME_LENGTH = 100;
    /** Images that are recorded of a machine. */
    private static final int MAX_IMAGES = 16;
    /** A job's end takes two operations: its job key goes, and a terminal one comes. */
    private static final int OPS_PER_JOB_END = 2;

    private final StateReplica replica;
    private final QuotaUsage quota;
    private final LogWriter logWriter;
    private final int opLimit;
    /** Placements of the machines that the draft changes. */
    private final Map<String, List<Placement>> changed = new LinkedHashMap<>();
    /** Zones of the same machines. */
    private final Map<String, String> zones = new HashMap<>();
    /** Images that the same machines cache, with their gigabytes, least recently used first. */
    private final Map<String, Map<String, Double>> images = new HashMap<>();

    private final Set<String> removedMachines = new HashSet<>();
    /** The finished tasks of jobs that the draft finishes tasks of, those from before included. */
    private final Map<String, BitSet> finished = new LinkedHashMap<>();
    /** The stored parts of these sets that change. */
    private final Set<String> finishedParts = new LinkedHashSet<>();
    /** How many tasks the draft places, by job. */
    private final Map<String, Integer> placedCounts = new HashMap<>();

    private final Set<String> endedJobs = new LinkedHashSet<>();
    private int ops;

    /** An empty draft; {@code quota} is what teams use by the replica, and is counted on as the draft grows. */
    TransactionDraft(StateReplica replica, QuotaUsage quota, LogWriter.Limits limits) {
        this.replica = replica;
        this.quota = quota;
        this.logWriter = new LogWriter(replica, limits);
        this.opLimit = limits.ops();
        this.ops = logWriter.ops();
    }

    /** What teams use once the draft is applied. */
    QuotaUsage quota() {
        return quota;
    }

    /** Whether there is nothing to send; a due compaction of the work log is something. */
    boolean isEmpty() {
        return changed.isEmpty() && endedJobs.isEmpty() && !logWriter.compacts();
    }

    /** Whether a change of a machine's placements still fits. */
    boolean hasRoomForChange() {
        return ops <= opLimit && logWriter.fits(0);
    }

    /** Whether an exit still fits: a change of a machine's placements, and the end of the job that may come with it. */
    boolean hasRoomForExit() {
        return ops + OPS_PER_JOB_END <= opLimit && logWriter.fits(0);
    }

    /** Whether a job's end, and nothing else, still fits. */
    boolean hasRoomForJobEnd() {
        return ops + OPS_PER_JOB_END <= opLimit;
    }

    /** Whether it changes what is placed on the machine. */
    boolean changes(String machine) {
        return changed.containsKey(machine);
    }

    /** What is placed on the machine once the draft is applied. */
    List<Placement> placements(String machine) {
        List<Placement> list = changed.get(machine);
        return list == null ? replica.placements(machine) : list;
    }

    private List<Placement> edit(String machine, String zone) {
        return changed.computeIfAbsent(machine, id -> {
            logWriter.reserve(logWriter.sizeOfMachine(id, zone));
            zones.put(id, zone);
            images.put(id, new LinkedHashMap<>(replica.images(id)));
            return new ArrayList<>(replica.placements(id));
        });
    }

    /** Removes a placement, and counts it as unused quota. */
    void free(String machine, Placement placement) {
        edit(machine, replica.zoneOfMachine(machine)).remove(placement);
        logWriter.reserve(LogWriter.sizeOfAttempt());
        JobView job = replica.job(placement.task().job());
        if (job != null) {
            quota.add(job.spec(), -1);
        }
    }

    /** Marks a placement to be stopped, with a checkpoint if the job writes any. */
    void stop(String machine, Placement placement, JobSpec job) {
        stop(machine, placement, job.writesCheckpoints() ? Placement.Stop.CHECKPOINT : Placement.Stop.NOW);
    }

    /** Marks a placement to be stopped; nothing happens when the draft freed it. */
    void stop(String machine, Placement placement, Placement.Stop how) {
        List<Placement> list = edit(machine, replica.zoneOfMachine(machine));
        int index = list.indexOf(placement);
        if (index >= 0) {
            list.set(index, placement.withStop(how));
            logWriter.reserve(LogWriter.sizeOfAttempt());
        }
    }

    /** Places a task of the job on a machine of that type in that zone. */
    void place(String machine, MachineType type, String zone, Placement placement, JobSpec job) {
        edit(machine, zone).add(placement);
        logWriter.reserve(LogWriter.sizeOfPlacement(job, images.get(machine).keySet()));
        recordImage(images.get(machine), type, job);
        quota.add(job, 1);
        placedCounts.merge(job.id(), 1, Integer::sum);
    }

    /** Records that the machine caches the job's image; what it used longest ago goes where it doesn't all fit. */
    private static void recordImage(Map<String, Double> cached, MachineType type, JobSpec job) {
        if (job.image().length() > MAX_IMAGE_NAME_LENGTH) {
            return;
        }
        cached.remove(job.image());
        cached.put(job.image(), job.imageGb());
        double sumGb = 0;
        for (double gb : cached.values()) {
            sumGb += gb;
        }
        Iterator<Double> oldest = cached.values().iterator();
        while ((sumGb > type.cacheGb() || cached.size() > MAX_IMAGES) && oldest.hasNext()) {
            sumGb -= oldest.next();
            oldest.remove();
        }
    }

    /** The machine is terminated for good, and its record is removed once it has no placements. */
    void removeMachine(String machine) {
        if (edit(machine, replica.zoneOfMachine(machine)).isEmpty()) {
            removedMachines.add(machine);
        }
    }

    /** Records a task as finished; the last one ends its job. */
    void finish(JobView job, int task) {
        String id = job.spec().id();
        BitSet tasks = finished.computeIfAbsent(id, key -> job.finishedSet());
        tasks.set(task);
        if (tasks.cardinality() == job.spec().tasks()) {
            endJob(id);
        }
        String part = WorkLog.partOf(id, task);
        if (finishedParts.add(part)) {
            logWriter.reserve(LogWriter.sizeOfPart(part, job.spec().tasks()));
        }
    }

    /** How many tasks of the job the draft places. */
    int placedCount(String job) {
        return placedCounts.getOrDefault(job, 0);
    }

    /** Ends a cancelled job without placements: its key leaves the mirrored part of the store. */
    void recordCancelled(JobView job) {
        endJob(job.spec().id());
    }

    private void endJob(String id) {
        if (endedJobs.add(id)) {
            ops += OPS_PER_JOB_END;
        }
    }

    /**
     * The transaction. It is guarded by the leader's key, by the work log's last entry, and by the keys of the jobs that it ends:
     * a cancellation in between makes it fail, and it is drafted anew.
     */
    Transaction toTransaction() {
        Transaction transaction = new Transaction().guard(Keys.LEADER, replica.modRevision(Keys.LEADER));
        logWriter.write(transaction, machineRecords(), finishedSets());
        for (String id : endedJobs) {
            endJob(transaction, id, replica.job(id));
        }
        return transaction;
    }

    private Map<String, MachineRecord> machineRecords() {
        Map<String, MachineRecord> records = new LinkedHashMap<>();
        changed.forEach((id, placements) -> records.put(
                id,
                placements.isEmpty() && removedMachines.contains(id)
                        ? MachineRecord.NONE
                        : new MachineRecord(zones.get(id), List.copyOf(placements), images.get(id))));
        return records;
    }

    /** The changed parts of the sets of finished tasks, but those of jobs that end. */
    private Map<String, BitSet> finishedSets() {
        Map<String, BitSet> sets = new LinkedHashMap<>();
        for (String part : finishedParts) {
            String job = part.substring(0, part.lastIndexOf('/'));
            if (!endedJobs.contains(job)) {
                sets.put(part, WorkLog.bitsOf(finished.get(job), part));
            }
        }
        return sets;
    }

    private void endJob(Transaction transaction, String id, JobView job) {
        transaction.guard(Keys.job(id), job.modRevision());
        transaction.delete(Keys.job(id));
        BitSet tasks = finished.get(id);
        int count = tasks == null ? job.finishedCount() : tasks.cardinality();
        JobState state = job.isLive() ? JobState.DONE : job.job().state();
        Records.TerminalJob terminal = new Records.TerminalJob(
                state, job.spec().tasks(), count, job.spec().team());
        transaction.put(Keys.terminalJob(id), Records.terminalJob(terminal));
    }
}

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
 * A transaction being drafted: changes of placements and of finished tasks on top of the replica. It is applied atomically, so
 * the capacity and quota that it frees may be used by its own placements. Everything in it except the ends of jobs goes into
 * one entry of the work log.
 */
final class TransactionDraft {

    /** Maximum length in characters of the name of a recorded image; a few longer names would fill a machine's record. */
    private static final int MAX_IMAGE_NAME_LENGTH = 100;
    /** Maximum number of images recorded for a machine. */
    private static final int MAX_IMAGES = 16;
    /** Operations needed to end a job: its job key is deleted, and a terminal record is written. */
    private static final int OPS_PER_JOB_END = 2;

    private final StateReplica replica;
    private final QuotaUsage quota;
    private final LogWriter logWriter;
    private final int opLimit;
    /** Placements of the machines that the draft changes, by machine. */
    private final Map<String, List<Placement>> changed = new LinkedHashMap<>();
    /** Zones of the machines in {@link #changed}. */
    private final Map<String, String> zones = new HashMap<>();
    /** Images cached on the machines in {@link #changed}, with their size in GB, least recently used first. */
    private final Map<String, Map<String, Double>> images = new HashMap<>();

    private final Set<String> removedMachines = new HashSet<>();
    /** Finished tasks, by job, including those that finished earlier. Only for jobs with tasks that the draft finishes. */
    private final Map<String, BitSet> finished = new LinkedHashMap<>();
    /** Names of the stored parts of the sets in {@link #finished} that change. */
    private final Set<String> finishedParts = new LinkedHashSet<>();
    /** Number of tasks that the draft places, by job. */
    private final Map<String, Integer> placedCounts = new HashMap<>();

    private final Set<String> endedJobs = new LinkedHashSet<>();
    private int ops;

    /**
     * Creates an empty draft.
     *
     * @param quota what teams use according to the replica; updated as the draft grows
     */
    TransactionDraft(StateReplica replica, QuotaUsage quota, LogWriter.Limits limits) {
        this.replica = replica;
        this.quota = quota;
        this.logWriter = new LogWriter(replica, limits);
        this.opLimit = limits.ops();
        this.ops = logWriter.ops();
    }

    /** Returns what teams use once the draft is applied. */
    QuotaUsage quota() {
        return quota;
    }

    /** Returns whether there is nothing to send. A due compaction of the work log counts as something to send. */
    boolean isEmpty() {
        return changed.isEmpty() && endedJobs.isEmpty() && !logWriter.compacts();
    }

    /** Returns whether a change of a machine's placements still fits. */
    boolean hasRoomForChange() {
        return ops <= opLimit && logWriter.fits(0);
    }

    /** Returns whether an exit still fits: a change of a machine's placements, and the end of the job that may come with it. */
    boolean hasRoomForExit() {
        return ops + OPS_PER_JOB_END <= opLimit && logWriter.fits(0);
    }

    /** Returns whether the end of a job, and nothing else, still fits. */
    boolean hasRoomForJobEnd() {
        return ops + OPS_PER_JOB_END <= opLimit;
    }

    /** Returns whether the draft changes the machine's placements. */
    boolean changes(String machine) {
        return changed.containsKey(machine);
    }

    /** Returns the machine's placements once the draft is applied. */
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

    /** Removes a placement and releases its quota. */
    void free(String machine, Placement placement) {
        edit(machine, replica.zoneOfMachine(machine)).remove(placement);
        logWriter.reserve(LogWriter.sizeOfAttempt());
        JobView job = replica.job(placement.task().job());
        if (job != null) {
            quota.add(job.spec(), -1);
        }
    }

    /** Marks a placement to be stopped, after writing a checkpoint if the job writes any. */
    void stop(String machine, Placement placement, JobSpec job) {
        stop(machine, placement, job.writesCheckpoints() ? Placement.Stop.CHECKPOINT : Placement.Stop.NOW);
    }

    /** Marks a placement to be stopped; does nothing if the draft has already freed it. */
    void stop(String machine, Placement placement, Placement.Stop stop) {
        List<Placement> list = edit(machine, replica.zoneOfMachine(machine));
        int index = list.indexOf(placement);
        if (index >= 0) {
            list.set(index, placement.withStop(stop));
            logWriter.reserve(LogWriter.sizeOfAttempt());
        }
    }

    /** Places a task of the job on a machine of the given type and zone. */
    void place(String machine, MachineType type, String zone, Placement placement, JobSpec job) {
        edit(machine, zone).add(placement);
        logWriter.reserve(LogWriter.sizeOfPlacement(job, images.get(machine).keySet()));
        recordImage(images.get(machine), type, job);
        quota.add(job, 1);
        placedCounts.merge(job.id(), 1, Integer::sum);
    }

    /** Records that the machine caches the job's image, and drops the least recently used images if they don't all fit. */
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

    /** Removes the record of a machine that is terminated for good, if the machine has no placements left. */
    void removeMachine(String machine) {
        if (edit(machine, replica.zoneOfMachine(machine)).isEmpty()) {
            removedMachines.add(machine);
        }
    }

    /** Records a task as finished. The last task to finish ends its job. */
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

    /** Returns the number of tasks of the job that the draft places. */
    int placedCount(String job) {
        return placedCounts.getOrDefault(job, 0);
    }

    /** Ends a cancelled job that has no placements. Its job key is deleted, so the replica no longer contains the job. */
    void recordCancelled(JobView job) {
        endJob(job.spec().id());
    }

    private void endJob(String id) {
        if (endedJobs.add(id)) {
            ops += OPS_PER_JOB_END;
        }
    }

    /**
     * Returns the transaction. It is guarded by the leader key, by the last entry of the work log, and by the keys of the jobs
     * that it ends. If one of these jobs is cancelled in the meantime, the transaction fails and is drafted again.
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

    /** Returns the changed parts of the sets of finished tasks, except those of jobs that end. */
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

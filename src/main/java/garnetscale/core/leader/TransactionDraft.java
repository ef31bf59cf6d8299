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
 * A transaction in the making: changes of placements and finished sets on top of the replica. Everything in it is
 * applied at once or not at all, so room and quota that it frees may be used by it. All of it but the ends of jobs
 * goes into one entry of the work log.
 */
final class TransactionDraft {

    /** An image with a longer name isn't noted: a few of them would fill a machine's record. */
    private static final int LONGEST_IMAGE = 100;

    private static final int MOST_IMAGES = 16;

    private final StateReplica replica;
    private final QuotaUsage quota;
    private final LogWriter log;
    private final int opLimit;
    private final Map<String, List<Placement>> machines = new LinkedHashMap<>();
    private final Map<String, String> zones = new HashMap<>();
    private final Map<String, Map<String, Double>> images = new HashMap<>();
    private final Set<String> forgotten = new HashSet<>();
    private final Map<String, BitSet> finished = new LinkedHashMap<>();
    private final Set<String> parts = new LinkedHashSet<>();
    private final Map<String, Set<Integer>> awarded = new HashMap<>();
    private final Set<String> over = new LinkedHashSet<>();
    private int ops;

    TransactionDraft(StateReplica replica, QuotaUsage quota, LogWriter.Limits limits) {
        this.replica = replica;
        this.quota = quota;
        this.log = new LogWriter(replica, limits);
        this.opLimit = limits.ops();
        this.ops = log.ops();
    }

    QuotaUsage quota() {
        return quota;
    }

    boolean isEmpty() {
        return machines.isEmpty() && over.isEmpty() && !log.folds();
    }

    /** Whether a change of a machine still fits into the transaction, and the end of a job if that comes with it. */
    boolean hasRoom(boolean mayEndJob) {
        return ops + (mayEndJob ? 2 : 0) <= opLimit && log.fits(0);
    }

    /** Whether a job's end, and nothing else, still fits. */
    boolean hasRoomForEnd() {
        return ops + 2 <= opLimit;
    }

    /** Whether it changes what is placed on the machine. */
    boolean changes(String machine) {
        return machines.containsKey(machine);
    }

    List<Placement> placements(String machine) {
        List<Placement> list = machines.get(machine);
        return list == null ? replica.placements(machine) : list;
    }

    private List<Placement> edit(String machine, String zone) {
        return machines.computeIfAbsent(machine, id -> {
            log.take(log.sizeOfRow(id, zone));
            zones.put(id, zone);
            images.put(id, new LinkedHashMap<>(replica.images(id)));
            return new ArrayList<>(replica.placements(id));
        });
    }

    void free(String machine, Placement p) {
        edit(machine, replica.placedZone(machine)).remove(p);
        log.take(LogWriter.sizeOfAttempt());
        JobView job = replica.job(p.task().job());
        if (job != null) {
            quota.add(job.spec(), -1);
        }
    }

    void stop(String machine, Placement p, Placement.Stop how) {
        List<Placement> list = edit(machine, replica.placedZone(machine));
        int i = list.indexOf(p);
        if (i >= 0) {
            list.set(i, p.withStop(how));
            log.take(LogWriter.sizeOfAttempt());
        }
    }

    void place(String machine, MachineType type, String zone, Placement p, JobSpec job) {
        edit(machine, zone).add(p);
        log.take(LogWriter.sizeOfPlacement(job, images.get(machine).keySet()));
        keepImage(images.get(machine), type, job);
        quota.add(job, 1);
        awarded.computeIfAbsent(job.id(), k -> new HashSet<>()).add(p.task().index());
    }

    /** A machine caches the images that it used last, as many as fit. */
    private static void keepImage(Map<String, Double> kept, MachineType type, JobSpec job) {
        if (job.image().length() > LONGEST_IMAGE) {
            return;
        }
        kept.remove(job.image());
        kept.put(job.image(), job.imageGb());
        double sum = 0;
        for (double gb : kept.values()) {
            sum += gb;
        }
        Iterator<Double> oldest = kept.values().iterator();
        while ((sum > type.cacheGb() || kept.size() > MOST_IMAGES) && oldest.hasNext()) {
            sum -= oldest.next();
            oldest.remove();
        }
    }

    /** The machine is gone for good, and so is its record once it has no placements. */
    void forget(String machine) {
        if (edit(machine, replica.placedZone(machine)).isEmpty()) {
            forgotten.add(machine);
        }
    }

    /** Records a task as finished; the last one ends its job. */
    void finish(JobView job, int task) {
        String id = job.spec().id();
        BitSet set = finished.computeIfAbsent(id, k -> job.finishedSet());
        set.set(task);
        if (set.cardinality() == job.spec().tasks() && over.add(id)) {
            ops += 2;
        }
        String part = WorkLog.partOf(id, task);
        if (parts.add(part)) {
            log.take(LogWriter.sizeOfPart(part, job.spec().tasks()));
        }
    }

    /** How many tasks of the job it places. */
    int awarded(String job) {
        return awarded.getOrDefault(job, Set.of()).size();
    }

    boolean isAwarded(String job, int task) {
        return awarded.getOrDefault(job, Set.of()).contains(task);
    }

    boolean isFinished(JobView job, int task) {
        BitSet set = finished.get(job.spec().id());
        return set == null ? job.isFinished(task) : set.get(task);
    }

    /** A cancelled job without placements leaves the mirrored part of the store. */
    void recordCancelled(JobView job) {
        if (over.add(job.spec().id())) {
            ops += 2;
        }
    }

    /**
     * The transaction. It is guarded by the leader's key, by the work log's last entry, and by the keys of the jobs
     * that it ends: a cancellation in between makes it fail, and it is drafted anew.
     */
    Transaction toTransaction() {
        Transaction transaction = new Transaction().guard(Keys.LEADER, replica.modRevision(Keys.LEADER));
        Map<String, MachineRecord> records = new LinkedHashMap<>();
        machines.forEach((id, list) -> records.put(
                id,
                list.isEmpty() && forgotten.contains(id)
                        ? MachineRecord.NONE
                        : new MachineRecord(zones.get(id), List.copyOf(list), images.get(id))));
        Map<String, BitSet> done = new LinkedHashMap<>();
        for (String part : parts) {
            String job = part.substring(0, part.lastIndexOf('/'));
            if (!over.contains(job)) {
                done.put(part, WorkLog.bitsOf(finished.get(job), part));
            }
        }
        log.write(transaction, records, done);
        for (String id : over) {
            JobView job = replica.job(id);
            transaction.guard(Keys.job(id), job.modRevision());
            transaction.delete(Keys.job(id));
            BitSet set = finished.get(id);
            int count = set == null ? job.finishedCount() : set.cardinality();
            JobState state = job.live() ? JobState.DONE : job.job().state();
            transaction.put(
                    Keys.terminalJob(id),
                    Records.terminalJob(new Records.TerminalJob(
                            state, job.spec().tasks(), count, job.spec().team())));
        }
        return transaction;
    }
}

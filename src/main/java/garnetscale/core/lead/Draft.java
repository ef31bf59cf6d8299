package garnetscale.core.lead;

import garnetscale.core.job.JobSpec;
import garnetscale.core.job.JobState;
import garnetscale.core.machine.MachineType;
import garnetscale.core.machine.Placement;
import garnetscale.core.quota.QuotaBook;
import garnetscale.core.store.JobView;
import garnetscale.core.store.Keys;
import garnetscale.core.store.Mirror;
import garnetscale.core.store.Records;
import garnetscale.core.store.Txn;
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
 * A transaction in the making: changes of placements and finished sets on top of the mirror. Everything in it is
 * applied at once or not at all, so room and quota that it frees may be used by it.
 */
final class Draft {

    private final Mirror mirror;
    private final int opLimit;
    private final QuotaBook quota;
    private final Map<String, List<Placement>> machines = new LinkedHashMap<>();
    private final Map<String, String> zones = new HashMap<>();
    private final Map<String, Map<String, Double>> images = new HashMap<>();
    private final Set<String> forgotten = new HashSet<>();
    private final Map<String, BitSet> finished = new LinkedHashMap<>();
    private final Map<String, Set<Integer>> shards = new HashMap<>();
    private final Map<String, Set<Integer>> awarded = new HashMap<>();
    private final Set<String> over = new LinkedHashSet<>();
    private int ops;

    Draft(Mirror mirror, QuotaBook quota, int opLimit) {
        this.mirror = mirror;
        this.quota = quota;
        this.opLimit = opLimit;
    }

    QuotaBook quota() {
        return quota;
    }

    boolean isEmpty() {
        return ops == 0;
    }

    /** Whether a change that touches a machine's key, and perhaps a job's, still fits into the transaction. */
    boolean hasRoomFor(String machine, int more) {
        return ops + more + (machines.containsKey(machine) ? 0 : 1) <= opLimit;
    }

    List<Placement> placements(String machine) {
        List<Placement> list = machines.get(machine);
        return list == null ? mirror.placements(machine) : list;
    }

    private List<Placement> edit(String machine, String zone) {
        return machines.computeIfAbsent(machine, id -> {
            ops++;
            zones.put(id, zone);
            images.put(id, new LinkedHashMap<>(mirror.images(id)));
            return new ArrayList<>(mirror.placements(id));
        });
    }

    void free(String machine, Placement p) {
        edit(machine, mirror.placedZone(machine)).remove(p);
        JobView job = mirror.job(p.task().job());
        if (job != null) {
            quota.add(job.spec(), -1);
        }
    }

    void stop(String machine, Placement p, Placement.Stop how) {
        List<Placement> list = edit(machine, mirror.placedZone(machine));
        int i = list.indexOf(p);
        if (i >= 0) {
            list.set(i, p.withStop(how));
        }
    }

    void place(String machine, MachineType type, String zone, Placement p, JobSpec job) {
        edit(machine, zone).add(p);
        keepImage(images.get(machine), type, job);
        quota.add(job, 1);
        awarded.computeIfAbsent(job.id(), k -> new HashSet<>()).add(p.task().index());
    }

    /** A machine caches the images that it used last, as many as fit. */
    private static void keepImage(Map<String, Double> kept, MachineType type, JobSpec job) {
        kept.remove(job.image());
        kept.put(job.image(), job.imageGb());
        double sum = 0;
        for (double gb : kept.values()) {
            sum += gb;
        }
        Iterator<Double> oldest = kept.values().iterator();
        while (sum > type.cacheGb() && oldest.hasNext()) {
            sum -= oldest.next();
            oldest.remove();
        }
    }

    /** The machine is gone for good, and so is its record once it has no placements. */
    void forget(String machine) {
        if (edit(machine, mirror.placedZone(machine)).isEmpty()) {
            forgotten.add(machine);
        }
    }

    /** Records a task as finished; the last one ends its job. */
    void finish(JobView job, int task) {
        String id = job.spec().id();
        BitSet set = finished.computeIfAbsent(id, k -> job.finishedSet());
        set.set(task);
        if (shards.computeIfAbsent(id, k -> new HashSet<>()).add(task / Records.SHARD)) {
            ops++;
        }
        if (set.cardinality() == job.spec().tasks() && over.add(id)) {
            ops += 2 + mirror.finishedShards(id).size();
        }
    }

    boolean isAwarded(String job, int task) {
        return awarded.getOrDefault(job, Set.of()).contains(task);
    }

    boolean isFinished(JobView job, int task) {
        BitSet set = finished.get(job.spec().id());
        return set == null ? job.isFinished(task) : set.get(task);
    }

    /** A cancelled job without placements leaves the mirrored part of the store. */
    void archiveCancelled(JobView job) {
        if (over.add(job.spec().id())) {
            ops += 2 + mirror.finishedShards(job.spec().id()).size();
        }
    }

    /**
     * The transaction. It is guarded by the leader's key, by every placement key that it changes, and by the keys
     * of jobs whose finished sets it changes: a cancellation in between makes it fail, and it is drafted anew.
     */
    Txn toTxn() {
        Txn txn = new Txn().guard(Keys.LEADER, mirror.stamp(Keys.LEADER));
        machines.forEach((id, list) -> {
            String key = Keys.placed(id);
            txn.guard(key, mirror.stamp(key));
            if (list.isEmpty() && forgotten.contains(id)) {
                txn.delete(key);
            } else {
                txn.put(key, Records.machine(zones.get(id), list, images.get(id)));
            }
        });
        finished.forEach((id, set) -> {
            txn.guard(Keys.job(id), mirror.stamp(Keys.job(id)));
            if (!over.contains(id)) {
                for (int shard : shards.get(id)) {
                    txn.put(Keys.finished(id, shard), Records.finished(set, shard));
                }
            }
        });
        for (String id : over) {
            JobView job = mirror.job(id);
            txn.guard(Keys.job(id), job.stamp());
            txn.delete(Keys.job(id));
            for (int shard : mirror.finishedShards(id)) {
                txn.delete(Keys.finished(id, shard));
            }
            BitSet set = finished.get(id);
            int done = set == null ? job.finishedCount() : set.cardinality();
            JobState state = job.live() ? JobState.DONE : job.job().state();
            txn.put(Keys.archived(id),
                Records.archived(new Records.Archived(state, job.spec().tasks(), done, job.spec().team())));
        }
        return txn;
    }
}

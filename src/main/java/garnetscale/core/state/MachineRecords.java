package garnetscale.core.state;

import garnetscale.core.machine.Placement;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** The replica's machine records. Whatever they place is also kept in the progress of the jobs' tasks. */
final class MachineRecords {

    private final JobViews jobs;
    private final Map<String, MachineRecord> machines = new LinkedHashMap<>();
    /** Machines whose record changed since these were last taken. */
    private Set<String> changed = new HashSet<>();

    MachineRecords(JobViews jobs) {
        this.jobs = jobs;
    }

    /** Removes all records, each of which counts as a change; the jobs are cleared separately. */
    void clear() {
        changed.addAll(machines.keySet());
        machines.clear();
    }

    /** The record of a machine, {@link MachineRecord#NONE} when it has none. */
    MachineRecord get(String id) {
        return machines.getOrDefault(id, MachineRecord.NONE);
    }

    /** Machines that have a record, with or without placements. */
    Set<String> ids() {
        return machines.keySet();
    }

    /** Machines whose records changed since the last call. */
    Set<String> takeChanged() {
        Set<String> taken = changed;
        changed = new HashSet<>();
        return taken;
    }

    /** Replaces a machine's record; one without a zone removes it. */
    void apply(String id, MachineRecord next) {
        for (Placement placement : get(id).placements()) {
            jobs.free(placement);
        }
        changed.add(id);
        if (next.zone() == null) {
            machines.remove(id);
            return;
        }
        machines.put(id, next);
        next.placements().forEach(jobs::place);
    }

    /** Adds the records that belong to a bucket. */
    void addRecordsOf(Bucket bucket, Map<String, MachineRecord> records) {
        machines.forEach((id, machine) -> {
            if (bucket.contains(Bucket.hashOfMachine(id))) {
                records.put(id, machine);
            }
        });
    }

    /** Adds the bytes that records take at the most, for each shard. */
    void addBytes(long[] bytesOfShard) {
        machines.forEach((id, machine) ->
                bytesOfShard[Bucket.shardOf(Bucket.hashOfMachine(id))] += LogSizes.machine(id, machine));
    }
}

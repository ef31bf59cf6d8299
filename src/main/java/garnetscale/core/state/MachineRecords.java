package garnetscale.core.state;

import garnetscale.core.machine.Placement;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** The replica's machine records. Their placements are also tracked in the task progress of the jobs. */
final class MachineRecords {

    private final JobViews jobs;
    private final Map<String, MachineRecord> machines = new LinkedHashMap<>();
    /** Machines whose records changed since the last {@link #takeChanged}. */
    private Set<String> changed = new HashSet<>();

    MachineRecords(JobViews jobs) {
        this.jobs = jobs;
    }

    /** Removes all records and marks their machines as changed. The jobs are cleared separately. */
    void clear() {
        changed.addAll(machines.keySet());
        machines.clear();
    }

    /** Returns the record of a machine, or {@link MachineRecord#NONE} if it has none. */
    MachineRecord get(String id) {
        return machines.getOrDefault(id, MachineRecord.NONE);
    }

    /** Returns the machines that have a record, with or without placements. */
    Set<String> ids() {
        return machines.keySet();
    }

    /** Returns the machines whose records changed since the last call. */
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

    /** Adds to the element of each shard the maximum size of the shard's records, in bytes. */
    void addBytes(long[] bytesOfShard) {
        machines.forEach((id, machine) ->
                bytesOfShard[Bucket.shardOf(Bucket.hashOfMachine(id))] += LogSizes.machine(id, machine));
    }
}

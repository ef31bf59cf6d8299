package garnetscale.core.state;

import garnetscale.core.machine.FreeCapacity;
import garnetscale.core.machine.MachineType;
import garnetscale.core.machine.Placement;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Caches the free capacity of each machine, and recomputes it only when the machine's record has changed. Otherwise, with a
 * thousand machines, most of a scheduling cycle would be spent recomputing the results of the previous cycle.
 */
public final class FreeCapacityCache {

    private record Cached(List<Placement> placements, MachineType type, FreeCapacity capacity) {}

    private final StateReplica replica;
    private final Map<String, Cached> cache = new HashMap<>();

    /** Creates an empty cache of the free capacity under the placements in a replica. */
    public FreeCapacityCache(StateReplica replica) {
        this.replica = replica;
    }

    /** Returns the free capacity of a machine under the replica's placements; shared, so callers must not modify it. */
    @SuppressWarnings("ReferenceEquality") // The replica replaces the list on every change and never modifies it.
    public FreeCapacity of(String machine, MachineType type) {
        List<Placement> placements = replica.placements(machine);
        Cached cached = cache.get(machine);
        if (cached != null && cached.placements() == placements && cached.type() == type) {
            return cached.capacity();
        }
        FreeCapacity capacity = new FreeCapacity(type);
        boolean complete = take(capacity, placements);
        if (complete) {
            cache.put(machine, new Cached(placements, type, capacity));
        }
        return capacity;
    }

    /** Subtracts what the placements use; returns false if the job of any placement isn't in the replica. */
    public boolean take(FreeCapacity capacity, List<Placement> placements) {
        boolean complete = true;
        for (Placement placement : placements) {
            JobView job = replica.job(placement.task().job());
            if (job != null) {
                capacity.take(job.spec());
            } else {
                complete = false;
            }
        }
        return complete;
    }

    /** Removes all machines except these from the cache. */
    public void retain(Set<String> machines) {
        cache.keySet().retainAll(machines);
    }
}

package garnetscale.core.state;

import garnetscale.core.machine.FreeCapacity;
import garnetscale.core.machine.MachineType;
import garnetscale.core.machine.Placement;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What placements leave free on each machine, computed again only when a machine's record has changed: with a thousand
 * machines most of a scheduling cycle would go into computing what the cycle before has computed.
 */
public final class FreeCapacityCache {

    private record Cached(List<Placement> placements, MachineType type, FreeCapacity capacity) {}

    private final StateReplica replica;
    private final Map<String, Cached> cache = new HashMap<>();

    /** An empty cache of what the placements in a replica leave free. */
    public FreeCapacityCache(StateReplica replica) {
        this.replica = replica;
    }

    /** The free capacity of a machine by the replica; shared, and so not to be altered. */
    @SuppressWarnings("ReferenceEquality") // The replica replaces the list with every change and never alters it.
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

    /** Takes what the placements use; false when one is of a job that the replica doesn't hold. */
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

    /** Drops all other machines from the cache. */
    public void retain(Set<String> machines) {
        cache.keySet().retainAll(machines);
    }
}

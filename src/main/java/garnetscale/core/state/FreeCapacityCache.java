package garnetscale.core.state;

import garnetscale.core.machine.FreeCapacity;
import garnetscale.core.machine.MachineType;
import garnetscale.core.machine.Placement;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What placements leave free on each machine, counted anew only when a machine's record has changed: with a thousand
 * machines most of a turn's work would go into counting what it counted the turn before.
 */
public final class FreeCapacityCache {

    private record Counted(List<Placement> placements, MachineType type, FreeCapacity room) {}

    private final StateReplica replica;
    private final Map<String, Counted> counted = new HashMap<>();

    public FreeCapacityCache(StateReplica replica) {
        this.replica = replica;
    }

    /** The room of a machine by the replica; shared, and so not to be altered. */
    public FreeCapacity of(String machine, MachineType type) {
        List<Placement> placements = replica.placements(machine);
        Counted c = counted.get(machine);
        if (c != null && c.placements() == placements && c.type() == type) {
            return c.room();
        }
        FreeCapacity room = new FreeCapacity(type);
        boolean whole = take(room, placements);
        if (whole) {
            counted.put(machine, new Counted(placements, type, room));
        }
        return room;
    }

    /** Takes what the placements use; false when one is of a job that the replica doesn't hold. */
    public boolean take(FreeCapacity room, List<Placement> placements) {
        boolean whole = true;
        for (Placement p : placements) {
            JobView job = replica.job(p.task().job());
            if (job != null) {
                room.take(job.spec());
            } else {
                whole = false;
            }
        }
        return whole;
    }

    /** Forgets machines that aren't there any more. */
    public void retain(Set<String> machines) {
        counted.keySet().retainAll(machines);
    }
}

package garnetscale.core.state;

import garnetscale.core.machine.Placement;
import java.util.List;
import java.util.Map;

/**
 * The stored record of a machine.
 *
 * @param zone       its zone, which determines its partition together with its name; stored so that a new owner of that
 *                   partition finds the machine even if it no longer sends heartbeats; null for {@link #NONE}
 * @param placements attempts that may be running on it
 * @param images     images in its cache with their sizes in GB, the most recently used last; stored so that a failover
 *                   doesn't lose them
 */
public record MachineRecord(String zone, List<Placement> placements, Map<String, Double> images) {

    /** Stands for a machine that has no record. */
    public static final MachineRecord NONE = new MachineRecord(null, List.of(), Map.of());
}

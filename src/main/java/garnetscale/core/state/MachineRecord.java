package garnetscale.core.state;

import garnetscale.core.machine.Placement;
import java.util.List;
import java.util.Map;

/**
 * What is stored of a machine.
 *
 * @param zone       its zone, by which a new owner of its partition finds it even if it no longer sends heartbeats; null for
 *                   {@link #NONE}
 * @param placements attempts that may run on it
 * @param images     images in its cache with their sizes in GB, the latest used last, so that no failover loses them
 */
public record MachineRecord(String zone, List<Placement> placements, Map<String, Double> images) {

    /** A machine that has no record. */
    public static final MachineRecord NONE = new MachineRecord(null, List.of(), Map.of());
}

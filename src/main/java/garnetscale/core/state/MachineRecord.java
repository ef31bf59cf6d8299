package garnetscale.core.state;

import garnetscale.core.machine.Placement;
import java.util.List;
import java.util.Map;

/**
 * What is kept of a machine: its zone, so that whoever takes over a block finds machines in it that no longer report;
 * its placements; and its images with their sizes, the latest used last, so that no restart has to learn anew where
 * they are.
 */
public record MachineRecord(String zone, List<Placement> placements, Map<String, Double> images) {

    /** A machine that has no record. */
    public static final MachineRecord NONE = new MachineRecord(null, List.of(), Map.of());
}

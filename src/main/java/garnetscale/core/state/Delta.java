package garnetscale.core.state;

import garnetscale.core.machine.Placement;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What an entry of the work log says of a machine: not its new record but the change, since an exit concerns one of many
 * tasks. Entries are applied in order and each once, so that a change is enough.
 *
 * @param zone   null when the record is removed
 * @param freed  attempts that are no longer placed on the machine
 * @param stops  attempts that are to be stopped from now on, and how
 * @param placed attempts that are placed on the machine from now on
 * @param images the machine's images with their sizes in GB if they are other ones than before, else null
 */
record Delta(
        String zone,
        Set<Long> freed,
        Map<Long, Placement.Stop> stops,
        List<Placement> placed,
        Map<String, Double> images) {

    /** The change that leads from one record to another; {@link MachineRecord#NONE} removes the record. */
    static Delta between(MachineRecord before, MachineRecord after) {
        if (after.zone() == null) {
            return new Delta(null, Set.of(), Map.of(), List.of(), null);
        }
        Map<Long, Placement> old = new HashMap<>();
        before.placements().forEach(placement -> old.put(placement.attempt(), placement));
        Set<Long> freed = new HashSet<>(old.keySet());
        Map<Long, Placement.Stop> stops = new LinkedHashMap<>();
        List<Placement> placed = new ArrayList<>();
        for (Placement placement : after.placements()) {
            Placement previous = old.get(placement.attempt());
            freed.remove(placement.attempt());
            if (previous == null) {
                placed.add(placement);
            } else if (previous.stop() != placement.stop()) {
                stops.put(placement.attempt(), placement.stop());
            }
        }
        boolean sameImages = before.images().keySet().equals(after.images().keySet());
        return new Delta(after.zone(), freed, stops, placed, sameImages ? null : after.images());
    }

    /** The record after this change. */
    MachineRecord applyTo(MachineRecord before) {
        if (zone == null) {
            return MachineRecord.NONE;
        }
        List<Placement> placements = new ArrayList<>();
        for (Placement placement : before.placements()) {
            if (!freed.contains(placement.attempt())) {
                Placement.Stop stop = stops.get(placement.attempt());
                placements.add(stop == null ? placement : placement.withStop(stop));
            }
        }
        placements.addAll(placed);
        return new MachineRecord(zone, List.copyOf(placements), images == null ? before.images() : images);
    }
}

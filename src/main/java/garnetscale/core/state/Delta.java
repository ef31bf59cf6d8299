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
 * The change of a machine's record in a work log entry. An entry contains the change and not the new record, because an exit
 * affects only one of many tasks. Entries are applied in order and exactly once, so a change is sufficient.
 *
 * @param zone   the zone of the machine, or null if its record is removed
 * @param freed  attempts that are no longer placed on the machine
 * @param stops  attempts whose stop mode changed, with the new mode
 * @param placed attempts that are newly placed on the machine
 * @param images images in the machine's cache with their sizes in GB, or null if the set of images hasn't changed; a change
 *               in their order alone isn't stored
 */
record Delta(
        String zone,
        Set<Long> freed,
        Map<Long, Placement.Stop> stops,
        List<Placement> placed,
        Map<String, Double> images) {

    /** Returns the change from one record to another; {@link MachineRecord#NONE} removes the record. */
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

    /** Returns the record after this change. */
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

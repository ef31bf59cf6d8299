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
 * What an entry of the work log says of a machine: not its new record but the change, since a finish concerns one of
 * many tasks. Entries are applied in order and each once, so that a change is enough.
 *
 * @param zone   null when the record is removed
 * @param freed  attempts that are placed there no more
 * @param stops  attempts that are to be stopped from now on, and how
 * @param images the machine's images if other ones than before, else null
 */
record Delta(
        String zone,
        Set<Long> freed,
        Map<Long, Placement.Stop> stops,
        List<Placement> placed,
        Map<String, Double> images) {

    static Delta between(MachineRecord before, MachineRecord after) {
        if (after.zone() == null) {
            return new Delta(null, Set.of(), Map.of(), List.of(), null);
        }
        Map<Long, Placement> old = new HashMap<>();
        before.placements().forEach(p -> old.put(p.attempt(), p));
        Set<Long> freed = new HashSet<>(old.keySet());
        Map<Long, Placement.Stop> stops = new LinkedHashMap<>();
        List<Placement> placed = new ArrayList<>();
        for (Placement p : after.placements()) {
            Placement was = old.get(p.attempt());
            freed.remove(p.attempt());
            if (was == null) {
                placed.add(p);
            } else if (was.stop() != p.stop()) {
                stops.put(p.attempt(), p.stop());
            }
        }
        boolean same = before.images().keySet().equals(after.images().keySet());
        return new Delta(after.zone(), freed, stops, placed, same ? null : after.images());
    }

    MachineRecord applyTo(MachineRecord before) {
        if (zone == null) {
            return MachineRecord.NONE;
        }
        List<Placement> list = new ArrayList<>();
        for (Placement p : before.placements()) {
            if (!freed.contains(p.attempt())) {
                Placement.Stop stop = stops.get(p.attempt());
                list.add(stop == null ? p : p.withStop(stop));
            }
        }
        list.addAll(placed);
        return new MachineRecord(zone, List.copyOf(list), images == null ? before.images() : images);
    }
}

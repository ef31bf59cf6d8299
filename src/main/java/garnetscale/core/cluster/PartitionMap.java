package garnetscale.core.cluster;

import garnetscale.core.SchedulerConfig;
import java.util.ArrayList;
import java.util.List;

/**
 * Which partition a machine belongs to. Partitions never span zones, and a zone has as many as it has controllers, so that
 * each controller can own one in its zone. The mapping is a function of the machine's name and zone alone: every controller
 * finds the owner for a worker that it has never seen.
 */
public final class PartitionMap {

    private final SchedulerConfig config;
    private final List<String> all = new ArrayList<>();

    /** Derives the partitions from the zones and controllers of the configuration. */
    public PartitionMap(SchedulerConfig config) {
        this.config = config;
        for (String zone : config.zones()) {
            for (int i = 0; i < partitionsIn(zone); i++) {
                all.add(zone + "/" + i);
            }
        }
    }

    /** Names of all partitions, zone by zone in the order of the configuration. */
    public List<String> all() {
        return all;
    }

    /** The zone of a partition, by its name. */
    public static String zoneOf(String partition) {
        return partition.substring(0, partition.lastIndexOf('/'));
    }

    /** The partition of a machine; a zone that isn't configured counts as the first one. */
    public String partitionOf(String machine, String zone) {
        String knownZone = config.zones().contains(zone) ? zone : config.zones().get(0);
        return knownZone + "/" + Math.floorMod(number(machine), partitionsIn(knownZone));
    }

    private int partitionsIn(String zone) {
        int controllers = 0;
        for (SchedulerConfig.ControllerAddress controller : config.controllers()) {
            if (controller.zone().equals(zone)) {
                controllers++;
            }
        }
        return Math.max(1, controllers);
    }

    /** The number at the end of a machine's name, which spreads machines evenly; the name's hash if it has none. */
    public static int number(String machine) {
        int dash = machine.lastIndexOf('-');
        try {
            return Integer.parseInt(machine.substring(dash + 1));
        } catch (NumberFormatException e) {
            return machine.hashCode();
        }
    }
}

package garnetscale.core.cluster;

import garnetscale.core.SchedulerConfig;
import java.util.ArrayList;
import java.util.List;

/**
 * Maps machines to partitions. Partitions never span zones. A zone has as many partitions as controllers, so that each
 * controller can own one in its zone, but at least one. The mapping depends only on the machine's name and zone, so that every
 * controller can find the owner of a worker that it hasn't seen before.
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

    /** Returns the names of all partitions, by zone in the order of the configuration. */
    public List<String> all() {
        return all;
    }

    /** Returns the zone of the partition with this name. */
    public static String zoneOf(String partition) {
        return partition.substring(0, partition.lastIndexOf('/'));
    }

    /** Returns the partition of a machine; a zone that isn't configured is treated as the first configured zone. */
    public String partitionOf(String machine, String zone) {
        String knownZone = config.zones().contains(zone) ? zone : config.zones().get(0);
        return knownZone + "/" + Math.floorMod(machineNumber(machine), partitionsIn(knownZone));
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

    /**
     * Returns the number at the end of a machine's name, which distributes machines evenly, or the hash of the name if it doesn't
     * end in a number.
     */
    public static int machineNumber(String machine) {
        int dash = machine.lastIndexOf('-');
        try {
            return Integer.parseInt(machine.substring(dash + 1));
        } catch (NumberFormatException e) {
            return machine.hashCode();
        }
    }
}

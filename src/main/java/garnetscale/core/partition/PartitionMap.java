package garnetscale.core.partition;

import garnetscale.core.SchedulerConfig;
import java.util.ArrayList;
import java.util.List;

/**
 * Which block a machine belongs to. Blocks never span zones, and a zone has as many as it has controllers, so
 * that each can hold one at home. The mapping is a function of the machine's name and zone alone: every node
 * finds the holder for a worker that it has never heard of.
 */
public final class PartitionMap {

    private final SchedulerConfig config;
    private final List<String> all = new ArrayList<>();

    public PartitionMap(SchedulerConfig config) {
        this.config = config;
        for (String zone : config.zones()) {
            for (int i = 0; i < partitionsIn(zone); i++) {
                all.add(zone + "/" + i);
            }
        }
    }

    public List<String> all() {
        return all;
    }

    public static String zoneOf(String partition) {
        return partition.substring(0, partition.lastIndexOf('/'));
    }

    public String partitionOf(String machine, String zone) {
        String home = config.zones().contains(zone) ? zone : config.zones().get(0);
        return home + "/" + Math.floorMod(number(machine), partitionsIn(home));
    }

    private int partitionsIn(String zone) {
        int nodes = 0;
        for (SchedulerConfig.ControllerAddress m : config.controllers()) {
            if (m.zone().equals(zone)) {
                nodes++;
            }
        }
        return Math.max(1, nodes);
    }

    /** The number in a machine's name, which spreads machines evenly. */
    public static int number(String machine) {
        int dash = machine.lastIndexOf('-');
        try {
            return Integer.parseInt(machine.substring(dash + 1));
        } catch (NumberFormatException e) {
            return machine.hashCode();
        }
    }
}

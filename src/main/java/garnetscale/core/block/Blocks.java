package garnetscale.core.block;

import garnetscale.core.Params;
import java.util.ArrayList;
import java.util.List;

/**
 * Which block a machine belongs to. Blocks never span zones, and a zone has as many as it has controllers, so
 * that each can hold one at home. The mapping is a function of the machine's name and zone alone: every node
 * finds the holder for a worker that it has never heard of.
 */
public final class Blocks {

    private final Params params;
    private final List<String> all = new ArrayList<>();

    public Blocks(Params params) {
        this.params = params;
        for (String zone : params.zones()) {
            for (int i = 0; i < blocksIn(zone); i++) {
                all.add(zone + "/" + i);
            }
        }
    }

    public List<String> all() {
        return all;
    }

    public static String zoneOf(String block) {
        return block.substring(0, block.lastIndexOf('/'));
    }

    public String blockOf(String machine, String zone) {
        String home = params.zones().contains(zone) ? zone : params.zones().get(0);
        return home + "/" + Math.floorMod(number(machine), blocksIn(home));
    }

    private int blocksIn(String zone) {
        int nodes = 0;
        for (Params.Member m : params.members()) {
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

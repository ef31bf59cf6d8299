package garnetscale.core.balance;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The load of the fleet at one moment. It never changes: a plan and an operator's question each see one consistent picture,
 * while the tracker goes on. Sharing structure with its predecessors, it costs by what changed since.
 *
 * @param at             the moment, in milliseconds
 * @param timeConstantMs of the average of each group's utilization
 */
public record LoadSnapshot(
        long at,
        double timeConstantMs,
        PMap<String, MachineLoad> machines,
        PMap<MachineGroup, GroupLoad> groups,
        Demand demand) {

    /** From this part of unknown machines on, a group as a whole counts as unknown. */
    private static final double MOST_UNKNOWN = 0.25;

    /** Nothing is known. */
    public static final LoadSnapshot EMPTY =
            new LoadSnapshot(0, 1, HashTreePMap.empty(), HashTreePMap.empty(), Demand.NONE);

    /** The smoothed utilization of a group, from 0 to 1; 0 for one that it doesn't hold. */
    public double utilization(MachineGroup group) {
        GroupLoad load = groups.get(group);
        return load == null ? 0 : load.smoothed(at, timeConstantMs);
    }

    /** Serving capacity of a group in CPUs. */
    public double capacityCpus(MachineGroup group) {
        GroupLoad load = groups.get(group);
        return load == null ? 0 : MachineLoad.cpus(load.totals().capacity());
    }

    /** What is free on the serving machines of a group, in CPUs. */
    public double freeCpus(MachineGroup group) {
        GroupLoad load = groups.get(group);
        return load == null
                ? 0
                : MachineLoad.cpus(load.totals().capacity() - load.totals().used());
    }

    /** Whether enough is known of a group to move work into or out of it. */
    public boolean isKnown(MachineGroup group) {
        GroupLoad load = groups.get(group);
        return load != null
                && load.totals().unknownMachines()
                        <= MOST_UNKNOWN * load.totals().machines();
    }

    /** Whether a machine is there and its load known. */
    public boolean isKnown(String machine) {
        MachineLoad load = machines.get(machine);
        return load != null && load.unknown() == null;
    }

    /** The largest utilization of any known group over the mean of all, weighted by capacity; 1 where nothing is in use. */
    public double peakToMean() {
        double peak = 0;
        double used = 0;
        double capacity = 0;
        for (MachineGroup group : groups.keySet()) {
            if (isKnown(group)) {
                double utilization = utilization(group);
                peak = Math.max(peak, utilization);
                used += utilization * capacityCpus(group);
                capacity += capacityCpus(group);
            }
        }
        return used <= 0 ? 1 : peak * capacity / used;
    }
}

package garnetscale.core.balance;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * An immutable snapshot of the cluster's load. It gives a plan or an operator's query one consistent state while the tracker
 * continues. A snapshot shares structure with earlier ones, so its cost depends only on what has changed since.
 *
 * @param at the time of the snapshot, in milliseconds
 * @param timeConstantMs time constant of each group's smoothed utilization, in milliseconds
 */
public record LoadSnapshot(
        long at,
        double timeConstantMs,
        PMap<String, MachineLoad> machines,
        PMap<MachineGroup, GroupLoad> groups,
        Demand demand) {

    /** A group counts as unknown as a whole if the load of a larger share of its machines is unknown. */
    private static final double MAX_UNKNOWN_SHARE = 0.25;

    /** A snapshot without machines. */
    public static final LoadSnapshot EMPTY =
            new LoadSnapshot(0, 1, HashTreePMap.empty(), HashTreePMap.empty(), Demand.NONE);

    /** Returns the smoothed utilization of a group, from 0 to 1; 0 for a group that doesn't exist. */
    public double utilization(MachineGroup group) {
        GroupLoad load = groups.get(group);
        return load == null ? 0 : load.smoothed(at, timeConstantMs);
    }

    /** Returns the serving capacity of a group in CPUs; 0 for a group that doesn't exist. */
    public double capacityCpus(MachineGroup group) {
        GroupLoad load = groups.get(group);
        return load == null ? 0 : MachineLoad.cpus(load.totals().capacity());
    }

    /** Returns the CPUs that are free on the serving machines of a group; 0 for a group that doesn't exist. */
    public double freeCpus(MachineGroup group) {
        GroupLoad load = groups.get(group);
        return load == null
                ? 0
                : MachineLoad.cpus(load.totals().capacity() - load.totals().used());
    }

    /** Returns whether the load of enough machines of the group is known to move tasks into or out of the group. */
    public boolean isKnown(MachineGroup group) {
        GroupLoad load = groups.get(group);
        return load != null
                && load.totals().unknownMachines()
                        <= MAX_UNKNOWN_SHARE * load.totals().machines();
    }

    /** Returns whether the machine exists and its load is known. */
    public boolean isKnown(String machine) {
        MachineLoad load = machines.get(machine);
        return load != null && load.unknown() == null;
    }

    /**
     * Returns the ratio of the highest utilization of a known group to the mean over the known groups, weighted by capacity; 1 if
     * nothing is in use.
     */
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

package garnetscale.core.balance;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * An immutable snapshot of the cluster's load: a plan or an operator's query sees one consistent state while the tracker goes
 * on. It shares structure with the snapshots before it, so that its cost depends only on what has changed since.
 *
 * @param at             its time, in milliseconds
 * @param timeConstantMs time constant of each group's smoothed utilization
 */
public record LoadSnapshot(
        long at,
        double timeConstantMs,
        PMap<String, MachineLoad> machines,
        PMap<MachineGroup, GroupLoad> groups,
        Demand demand) {

    /** A group with a larger part of unknown machines counts as unknown as a whole. */
    private static final double MAX_UNKNOWN_PART = 0.25;

    /** No machine is known. */
    public static final LoadSnapshot EMPTY =
            new LoadSnapshot(0, 1, HashTreePMap.empty(), HashTreePMap.empty(), Demand.NONE);

    /** The smoothed utilization of a group, from 0 to 1; 0 for an unknown group. */
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

    /** Whether enough machines of the group are known to move tasks into or out of it. */
    public boolean isKnown(MachineGroup group) {
        GroupLoad load = groups.get(group);
        return load != null
                && load.totals().unknownMachines()
                        <= MAX_UNKNOWN_PART * load.totals().machines();
    }

    /** Whether the machine exists and its load is known. */
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

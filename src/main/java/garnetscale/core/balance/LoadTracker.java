package garnetscale.core.balance;

import java.util.Set;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/** Tracks the load of machine groups. The cost of a change doesn't depend on the size of the cluster. */
public final class LoadTracker {

    private final double timeConstantMs;
    private PMap<String, MachineLoad> machines = HashTreePMap.empty();
    private PMap<MachineGroup, GroupLoad> groups = HashTreePMap.empty();

    /**
     * Creates a tracker without machines.
     *
     * @param timeConstantMs milliseconds after which a group's smoothed utilization shows 63% of a lasting change
     */
    public LoadTracker(double timeConstantMs) {
        this.timeConstantMs = timeConstantMs;
    }

    /** Removes all machines. */
    public void clear() {
        machines = HashTreePMap.empty();
        groups = HashTreePMap.empty();
    }

    /** Sets the load of a machine, from {@code now} on. */
    public void update(long now, String machine, MachineLoad load) {
        MachineLoad before = machines.get(machine);
        if (load.equals(before)) {
            return;
        }
        machines = machines.plus(machine, load);
        if (before != null && before.group().equals(load.group())) {
            GroupLoad group = groups.get(load.group());
            GroupTotals totals = group.totals().minus(before).plus(load);
            groups = groups.plus(load.group(), group.withTotals(now, totals, timeConstantMs));
            return;
        }
        if (before != null) {
            subtract(now, before);
        }
        groups = groups.plus(load.group(), plus(now, groups.get(load.group()), load));
    }

    private GroupLoad plus(long now, GroupLoad group, MachineLoad load) {
        if (group == null) {
            GroupTotals totals = GroupTotals.EMPTY.plus(load);
            return new GroupLoad(totals, totals.utilization(), now);
        }
        return group.withTotals(now, group.totals().plus(load), timeConstantMs);
    }

    private void subtract(long now, MachineLoad load) {
        GroupLoad group = groups.get(load.group());
        GroupTotals totals = group.totals().minus(load);
        groups = totals.machines() == 0
                ? groups.minus(load.group())
                : groups.plus(load.group(), group.withTotals(now, totals, timeConstantMs));
    }

    /** Removes all machines except those in {@code present}. */
    public void retain(long now, Set<String> present) {
        if (machines.size() == present.size() && present.containsAll(machines.keySet())) {
            return;
        }
        for (String machine : machines.keySet()) {
            if (!present.contains(machine)) {
                remove(now, machine);
            }
        }
    }

    private void remove(long now, String machine) {
        MachineLoad before = machines.get(machine);
        machines = machines.minus(machine);
        subtract(now, before);
    }

    /** Returns the load at {@code now}, together with the demand that the caller has computed. */
    public LoadSnapshot snapshot(long now, Demand demand) {
        return new LoadSnapshot(now, timeConstantMs, machines, groups, demand);
    }
}

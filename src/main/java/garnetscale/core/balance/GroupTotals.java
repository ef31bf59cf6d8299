package garnetscale.core.balance;

import java.util.Collection;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Totals over the machines of a group. Capacity and usage are those of serving machines only, in thousandths of a CPU.
 *
 * @param machines the number of all machines in the group
 * @param serving the number of machines that take new tasks
 * @param unknown the number of machines whose load is unknown, by reason; reasons without machines are absent
 * @param capacity capacity of the serving machines
 * @param used usage by placements on the serving machines
 * @param usedBy usage by placements on the serving machines, by team; teams without usage are absent
 */
public record GroupTotals(
        int machines,
        int serving,
        PMap<UnknownReason, Integer> unknown,
        long capacity,
        long used,
        PMap<String, Long> usedBy) {

    static final GroupTotals EMPTY = new GroupTotals(0, 0, HashTreePMap.empty(), 0, 0, HashTreePMap.empty());

    /** Computes totals from scratch; the tracker's incremental totals must equal them. */
    static GroupTotals of(Collection<MachineLoad> machines) {
        GroupTotals totals = EMPTY;
        for (MachineLoad machine : machines) {
            totals = totals.plus(machine);
        }
        return totals;
    }

    GroupTotals plus(MachineLoad machine) {
        return add(machine, 1);
    }

    GroupTotals minus(MachineLoad machine) {
        return add(machine, -1);
    }

    private GroupTotals add(MachineLoad machine, int sign) {
        PMap<UnknownReason, Integer> unknownNow = unknown;
        if (machine.unknown() != null) {
            unknownNow = addCount(unknown, machine.unknown(), sign);
        }
        if (!machine.serving()) {
            return new GroupTotals(machines + sign, serving, unknownNow, capacity, used, usedBy);
        }
        long usedNow = used;
        PMap<String, Long> usedByNow = usedBy;
        for (var entry : machine.usedBy().entrySet()) {
            long amount = sign * entry.getValue();
            usedNow += amount;
            usedByNow = addAmount(usedByNow, entry.getKey(), amount);
        }
        return new GroupTotals(
                machines + sign, serving + sign, unknownNow, capacity + sign * machine.capacity(), usedNow, usedByNow);
    }

    private static PMap<UnknownReason, Integer> addCount(
            PMap<UnknownReason, Integer> counts, UnknownReason reason, int amount) {
        int sum = counts.getOrDefault(reason, 0) + amount;
        return sum == 0 ? counts.minus(reason) : counts.plus(reason, sum);
    }

    private static PMap<String, Long> addAmount(PMap<String, Long> amounts, String team, long amount) {
        long sum = amounts.getOrDefault(team, 0L) + amount;
        return sum == 0 ? amounts.minus(team) : amounts.plus(team, sum);
    }

    /** Returns the number of machines whose load is unknown. */
    int unknownMachines() {
        return unknown.values().stream().mapToInt(Integer::intValue).sum();
    }

    /** Returns the share of the serving capacity that is in use, not smoothed; 1 if no machine is serving. */
    double utilization() {
        return capacity == 0 ? 1 : (double) used / capacity;
    }
}

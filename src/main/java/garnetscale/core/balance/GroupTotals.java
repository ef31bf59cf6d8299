package garnetscale.core.balance;

import java.util.Collection;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Sums over the machines of a group. Capacity and use count serving machines alone, in thousandths of a CPU.
 *
 * @param machines all machines of the group
 * @param serving  those that take work
 * @param unknown  how many machines' load isn't known, by reason; a reason without machines isn't in it
 * @param usedBy   what is placed on serving machines, by team; a team without any isn't in it
 */
public record GroupTotals(
        int machines,
        int serving,
        PMap<UnknownReason, Integer> unknown,
        long capacity,
        long used,
        PMap<String, Long> usedBy) {

    static final GroupTotals EMPTY = new GroupTotals(0, 0, HashTreePMap.empty(), 0, 0, HashTreePMap.empty());

    /** Sums over machines from nothing; the tracker's running sums must come to the same. */
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

    int unknownMachines() {
        return unknown.values().stream().mapToInt(Integer::intValue).sum();
    }

    /** The part of the serving capacity that is in use at this moment; 1 where nothing serves. */
    double utilization() {
        return capacity == 0 ? 1 : (double) used / capacity;
    }
}

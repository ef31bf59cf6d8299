package garnetscale.core.balance;

import java.util.Map;

/**
 * What one machine adds to its group. Amounts are thousandths of a CPU, so that adding and subtracting leave no remainder.
 *
 * @param unknown  why its load isn't known, or null when it is
 * @param serving  whether it takes work: known, not draining, not avoided and not to be given back
 * @param capacity what it has
 * @param usedBy   what is placed on it, by team
 */
public record MachineLoad(
        MachineGroup group, UnknownReason unknown, boolean serving, long capacity, Map<String, Long> usedBy) {

    private static final double MILLI = 1000;

    public MachineLoad {
        usedBy = Map.copyOf(usedBy);
    }

    /** CPUs in the unit that is counted in. */
    public static long milliCpus(double cpus) {
        return Math.round(cpus * MILLI);
    }

    /** CPUs from the unit that is counted in. */
    public static double cpus(long milliCpus) {
        return milliCpus / MILLI;
    }
}

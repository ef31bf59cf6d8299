package garnetscale.core.balance;

import java.util.Map;

/**
 * What one machine contributes to its group. Amounts are whole thousandths of a CPU, so that sums have no rounding error.
 *
 * @param unknown  why its load is unknown, or null when it is known
 * @param serving  whether it takes new tasks: known, not draining, not cordoned and not decommissioned
 * @param capacity its CPUs
 * @param usedBy   what placements on it use, by team
 */
public record MachineLoad(
        MachineGroup group, UnknownReason unknown, boolean serving, long capacity, Map<String, Long> usedBy) {

    private static final double MILLI_PER_CPU = 1000;

    /** Copies {@code usedBy}. */
    public MachineLoad {
        usedBy = Map.copyOf(usedBy);
    }

    /** Converts CPUs to thousandths. */
    public static long milliCpus(double cpus) {
        return Math.round(cpus * MILLI_PER_CPU);
    }

    /** Converts thousandths to CPUs. */
    public static double cpus(long milliCpus) {
        return milliCpus / MILLI_PER_CPU;
    }
}

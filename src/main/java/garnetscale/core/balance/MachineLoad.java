package garnetscale.core.balance;

import java.util.Map;

/**
 * The load of one machine, which counts towards its group. Amounts are whole thousandths of a CPU, so that sums have no rounding
 * error.
 *
 * @param unknown why the machine's load is unknown, or null if it is known
 * @param serving whether the machine takes new tasks: known, not draining, not cordoned and not decommissioned
 * @param capacity the machine's CPUs, in thousandths
 * @param usedBy thousandths of a CPU that placements on the machine use, by team
 */
public record MachineLoad(
        MachineGroup group, UnknownReason unknown, boolean serving, long capacity, Map<String, Long> usedBy) {

    private static final double MILLI_PER_CPU = 1000;

    /** Creates a load with a copy of {@code usedBy}. */
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

package garnetscale.core.machine;

import garnetscale.core.job.JobSpec;
import java.util.List;

/**
 * A type of machine that the cloud provides.
 *
 * @param name unique among types
 * @param cpus CPUs of an empty machine
 * @param gpus GPUs of an empty machine
 * @param memoryGb memory of an empty machine, in GB
 * @param cacheGb size of the image cache, in GB
 * @param fetchGbPerS rate at which images are fetched; 0 if it isn't known
 * @param price price per hour of an ordinary machine
 * @param spotPrice present price per hour of a spot instance
 * @param bootS usual boot time in seconds
 * @param zones zones that provide it
 */
public record MachineType(
        String name,
        double cpus,
        double gpus,
        double memoryGb,
        double cacheGb,
        double fetchGbPerS,
        double price,
        double spotPrice,
        double bootS,
        List<String> zones) {

    /** Amounts are decimal numbers on the wire; sums of them are compared with this slack. */
    public static final double EPSILON = 1e-6;

    /** Whether an empty machine of this type could hold one task of the job. */
    public boolean fits(JobSpec job) {
        return job.allowsType(name)
                && job.cpus() <= cpus + EPSILON
                && job.gpus() <= gpus + EPSILON
                && job.memoryGb() <= memoryGb + EPSILON;
    }
}

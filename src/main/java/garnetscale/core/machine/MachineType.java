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
 * @param fetchGbPerS rate at which images are fetched, in GB per second; 0 if unknown
 * @param price price per hour of an on-demand machine
 * @param spotPrice current price per hour of a spot instance
 * @param bootS usual boot time in seconds
 * @param zones zones that provide machines of this type
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

    /** Tolerance in comparisons of amounts: they are decimal numbers on the wire, so that their sums are inexact in binary. */
    public static final double EPSILON = 1e-6;

    /** Whether the job allows this type and an empty machine of it could hold one task of the job. */
    public boolean fits(JobSpec job) {
        return job.allowsType(name)
                && job.cpus() <= cpus + EPSILON
                && job.gpus() <= gpus + EPSILON
                && job.memoryGb() <= memoryGb + EPSILON;
    }
}

package garnetscale.core.balance;

import garnetscale.core.job.JobSpec;
import garnetscale.core.machine.MachineType;
import garnetscale.core.queue.JobQueue;

/**
 * A machine's bid for tasks of a job that might be moved to it.
 *
 * @param slots   how many more tasks of the job fit on the machine
 * @param finishS seconds until a task that starts from the beginning would be complete there, image fetch included
 * @param slow    whether the machine's tasks take longer than estimated
 */
public record DestinationBid(
        String machine, MachineGroup group, MachineType type, boolean spot, boolean slow, int slots, double finishS) {

    /** Whether the job may run on the machine. */
    boolean fits(JobSpec job) {
        return JobQueue.allows(type, group.zone(), spot, job);
    }
}

package garnetscale.core.balance;

import garnetscale.core.job.JobSpec;
import garnetscale.core.machine.MachineType;
import garnetscale.core.queue.JobQueue;

/**
 * A machine's bid for tasks of a job that might be moved to it.
 *
 * @param slow whether the machine's tasks take longer than estimated
 * @param slots the number of further tasks of the job that fit on the machine
 * @param finishS seconds until a task without a checkpoint would be complete there, including the image fetch
 */
public record DestinationBid(
        String machine, MachineGroup group, MachineType type, boolean spot, boolean slow, int slots, double finishS) {

    /** Returns whether the job may run on the machine. */
    boolean allows(JobSpec job) {
        return JobQueue.allows(type, group.zone(), spot, job);
    }
}

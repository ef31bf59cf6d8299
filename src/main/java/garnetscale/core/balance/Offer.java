package garnetscale.core.balance;

import garnetscale.core.job.JobSpec;
import garnetscale.core.machine.MachineType;
import garnetscale.core.queue.JobQueue;

/**
 * A bid for a task of a job, as the planner sees it.
 *
 * @param slots   how many tasks of the job the machine has room for
 * @param finishS seconds until a task that began from nothing would be finished there, with the image's fetch
 * @param slow    whether the machine's tasks take longer than expected
 */
public record Offer(
        String machine, MachineGroup group, MachineType type, boolean spot, boolean slow, int slots, double finishS) {

    boolean fits(JobSpec job) {
        return JobQueue.allows(type, group.zone(), spot, job);
    }
}

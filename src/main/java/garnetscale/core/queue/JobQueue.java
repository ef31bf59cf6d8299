package garnetscale.core.queue;

import garnetscale.core.job.JobSpec;
import garnetscale.core.machine.MachineType;
import garnetscale.core.state.JobView;
import java.util.ArrayList;
import java.util.List;

/**
 * The queue of one machine: the jobs with unstarted tasks that the machine may run, head first. A queue is cheap to make anew
 * from the replica, and so it is made anew rather than patched: after any failure it is right again by itself. Machines of one
 * type and zone that are alike spot instances or not have the same queue.
 */
public final class JobQueue {

    /** A job with its sort key, which is computed once. */
    private record KeyedJob(double key, JobView job) {}

    private JobQueue() {}

    /** Returns the live jobs with unstarted tasks, as a new list in the order that all queues share; ties go by job id. */
    public static List<JobView> sort(Iterable<JobView> all, JobOrder order, long nowMs) {
        List<KeyedJob> keyed = new ArrayList<>();
        for (JobView job : all) {
            if (job.isLive() && job.unstartedCount() > 0) {
                keyed.add(new KeyedJob(order.key(job, nowMs), job));
            }
        }
        keyed.sort((first, second) -> {
            int byKey = Double.compare(first.key(), second.key());
            return byKey != 0
                    ? byKey
                    : first.job().spec().id().compareTo(second.job().spec().id());
        });
        List<JobView> sorted = new ArrayList<>(keyed.size());
        keyed.forEach(entry -> sorted.add(entry.job()));
        return sorted;
    }

    /** Whether a machine of the given type and zone, spot instance or not, has such a job in its queue. */
    public static boolean allows(MachineType type, String zone, boolean spot, JobSpec job) {
        return type.fits(job) && job.allowsZone(zone) && (!spot || job.spot());
    }
}

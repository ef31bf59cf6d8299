package garnetscale.core.queue;

import garnetscale.core.job.JobSpec;
import garnetscale.core.machine.MachineType;
import garnetscale.core.state.JobView;
import java.util.ArrayList;
import java.util.List;

/**
 * The queue of one machine: the jobs with unstarted tasks that the machine may run, head first. A queue is rebuilt from the
 * replica each time rather than updated, since that is cheap and makes it correct again after any failure. Machines of one type
 * and zone that are all spot instances or all on demand have the same queue.
 */
public final class JobQueue {

    /** A job with its sort key, so that the key is computed once per job. */
    private record KeyedJob(double key, JobView job) {}

    private JobQueue() {}

    /** Returns the live jobs with unstarted tasks, as a new list in the order that all queues share; ties go by job id. */
    public static List<JobView> sort(Iterable<JobView> all, JobOrder order, long nowMs) {
        List<KeyedJob> keyed = new ArrayList<>();
        for (JobView job : all) {
            if (job.isLive() && job.unstartedCount() > 0) {
                keyed.add(new KeyedJob(order.sortKey(job, nowMs), job));
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

    /** Returns whether a machine of the given type and zone, spot instance or not, may run the job. */
    public static boolean allows(MachineType type, String zone, boolean spot, JobSpec job) {
        return type.fits(job) && job.allowsZone(zone) && (!spot || job.spot());
    }
}

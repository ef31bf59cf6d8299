package garnetscale.core.queue;

import garnetscale.core.job.JobSpec;
import garnetscale.core.machine.MachineType;
import garnetscale.core.state.JobView;
import java.util.ArrayList;
import java.util.List;

/**
 * The line of one machine: the jobs with unstarted tasks that the machine may run, head first. A line is cheap
 * to make anew from the replica, and so it is made anew rather than patched: after any failure it is right again
 * by itself. Machines of one type, zone and kind have the same line: the order, and which of the jobs they may run.
 */
public final class JobQueue {

    private JobQueue() {}

    /** Puts live jobs with unstarted tasks into the order that all lines share. */
    public static List<JobView> sort(Iterable<JobView> all, JobOrder order, long nowMs) {
        record Keyed(double key, JobView job) {}
        List<Keyed> keyed = new ArrayList<>();
        for (JobView j : all) {
            if (j.live() && j.unstarted() > 0) {
                keyed.add(new Keyed(order.key(j, nowMs), j));
            }
        }
        keyed.sort((a, b) -> {
            int c = Double.compare(a.key(), b.key());
            return c != 0 ? c : a.job().spec().id().compareTo(b.job().spec().id());
        });
        List<JobView> sorted = new ArrayList<>(keyed.size());
        keyed.forEach(k -> sorted.add(k.job()));
        return sorted;
    }

    /** Whether a machine of the given type, zone and kind has a job of this kind in its line. */
    public static boolean allows(MachineType type, String zone, boolean spot, JobSpec job) {
        return type.fits(job) && job.allowsZone(zone) && (!spot || job.spot());
    }
}

package garnetscale.core.line;

import garnetscale.core.job.JobSpec;
import garnetscale.core.machine.MachineType;
import garnetscale.core.store.JobView;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * The line of one machine: the jobs with unstarted tasks that the machine may run, head first. A line is cheap
 * to make anew from the mirror, and so it is made anew rather than patched: after any failure it is right again
 * by itself.
 */
public final class Line {

    private final List<JobView> jobs = new ArrayList<>();

    /** Puts live jobs with unstarted tasks into the order that all lines share. */
    public static List<JobView> sort(Iterable<JobView> all, LineOrder order, long nowMs) {
        record Keyed(double key, JobView job) {
        }
        List<Keyed> keyed = new ArrayList<>();
        for (JobView j : all) {
            if (j.live() && j.unstarted() > 0) {
                keyed.add(new Keyed(order.key(j, nowMs), j));
            }
        }
        keyed.sort(Comparator.comparingDouble(Keyed::key).thenComparing(k -> k.job().spec().id()));
        List<JobView> sorted = new ArrayList<>(keyed.size());
        keyed.forEach(k -> sorted.add(k.job()));
        return sorted;
    }

    /** The line of a machine of the given type, zone and kind, from jobs in line order. */
    public Line(List<JobView> sorted, MachineType type, String zone, boolean spot) {
        for (JobView j : sorted) {
            JobSpec s = j.spec();
            if (type.fits(s) && s.allowsZone(zone) && (!spot || s.spot())) {
                jobs.add(j);
            }
        }
    }

    public List<JobView> jobs() {
        return jobs;
    }
}

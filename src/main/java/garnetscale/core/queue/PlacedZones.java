package garnetscale.core.queue;

import com.google.common.collect.HashMultiset;
import com.google.common.collect.Multiset;
import garnetscale.core.job.JobSpec;
import garnetscale.core.machine.Placement;
import garnetscale.core.state.JobView;
import garnetscale.core.state.StateReplica;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The zones in which tasks of waiting jobs with {@link ZoneConstraints} are placed, as of one revision of the replica. A job without
 * unstarted tasks, which waits for late bids only, isn't restricted: its task is stopped before it is placed again.
 */
public final class PlacedZones {

    /** One entry per placed task, by job. */
    private final Map<String, Multiset<String>> zonesByJob = new HashMap<>();

    /** Reads the placements of the waiting jobs; goes over all placements once if any of these jobs is constrained. */
    public PlacedZones(StateReplica replica, List<JobView> waiting) {
        for (JobView job : waiting) {
            if (job.placedCount() > 0 && job.unstartedCount() > 0 && ZoneConstraints.applyTo(job.spec())) {
                zonesByJob.put(job.spec().id(), HashMultiset.create());
            }
        }
        if (!zonesByJob.isEmpty()) {
            replica.machinesWithRecords().forEach(machine -> addPlacements(replica, machine));
        }
    }

    private void addPlacements(StateReplica replica, String machine) {
        for (Placement placement : replica.placements(machine)) {
            Multiset<String> zones = zonesByJob.get(placement.task().job());
            if (zones != null) {
                zones.add(replica.zoneOfMachine(machine));
            }
        }
    }

    /** Returns whether the job's placed tasks restrict where another task of it may be placed. */
    boolean restrict(JobSpec job) {
        return zonesByJob.containsKey(job.id());
    }

    /** Returns whether the job's placed tasks allow another task of it in a zone. */
    public boolean allowAnother(JobSpec job, String zone) {
        Multiset<String> placed = zonesByJob.get(job.id());
        return placed == null || ZoneConstraints.allowAnother(job, placed, zone);
    }
}

package garnetscale.core.queue;

import garnetscale.core.Times;
import garnetscale.core.state.JobView;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Tracks since when each waiting job has had no placed task, and thereby bounds the rules that keep a job from a machine with room: a
 * job that has been idle for {@link Times#MAX_HOLD_BACK_MS} may place a task in spite of them.
 */
public final class IdleJobs {

    private final Map<String, Long> idleSince = new HashMap<>();

    /** Updates the idle jobs from the jobs that exist or wait at {@code nowMs}; all times must be of the same clock. */
    public void observe(long nowMs, Iterable<JobView> jobs) {
        Set<String> idle = new HashSet<>();
        for (JobView job : jobs) {
            if (job.isLive() && job.unstartedCount() > 0 && job.placedCount() == 0) {
                idle.add(job.spec().id());
                idleSince.putIfAbsent(job.spec().id(), nowMs);
            }
        }
        idleSince.keySet().retainAll(idle);
    }

    /** Returns whether the job has been idle for so long that no rule may keep it from a machine with room any more. */
    public boolean isOverdue(long nowMs, String job) {
        Long since = idleSince.get(job);
        return since != null && nowMs - since >= Times.MAX_HOLD_BACK_MS;
    }
}

package garnetscale.core.state;

import garnetscale.core.machine.Placement;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The replica's jobs and the progress of their tasks, which may be received before the job's record. */
final class JobViews {

    private final Map<String, JobView> jobs = new LinkedHashMap<>();
    private final Map<String, JobView.TaskProgress> progress = new HashMap<>();
    private long added;

    void clear() {
        jobs.clear();
        progress.clear();
    }

    /** Returns the job, or null if there is none. */
    JobView get(String id) {
        return jobs.get(id);
    }

    /** Returns all jobs, in the order in which they were received. */
    Collection<JobView> all() {
        return jobs.values();
    }

    /** Returns how many jobs have been added since this process started, including those in listings. */
    long added() {
        return added;
    }

    /** Applies a job's stored value. Null removes the job but keeps the progress of its tasks. */
    void apply(String id, Object value, long modRevision) {
        if (value == null) {
            jobs.remove(id);
            return;
        }
        if (jobs.put(id, new JobView(Records.job(id, value), modRevision, progressOf(id))) == null) {
            added++;
        }
    }

    /** Removes the progress of removed jobs. Done after their records are removed, since log entries may still refer to them. */
    void dropProgress(List<String> removed) {
        removed.forEach(progress::remove);
    }

    /** Replaces a part of a job's finished set. */
    void applyFinished(String part, BitSet finished) {
        int slash = part.lastIndexOf('/');
        progressOf(part.substring(0, slash)).setFinishedPart(Integer.parseInt(part.substring(slash + 1)), finished);
    }

    void place(Placement placement) {
        progressOf(placement.task().job()).updatePlacement(placement.task().index(), true);
    }

    void free(Placement placement) {
        JobView.TaskProgress tasks = progress.get(placement.task().job());
        if (tasks != null) {
            tasks.updatePlacement(placement.task().index(), false);
        }
    }

    /** Adds the parts of finished sets that belong to a bucket, except those of removed jobs. */
    void addPartsOf(Bucket bucket, Map<String, BitSet> parts) {
        jobs.forEach((id, job) -> {
            JobView.TaskProgress tasks = progress.get(id);
            for (int i = 0; i < tasks.parts(); i++) {
                String part = WorkLog.part(id, i);
                if (bucket.contains(Bucket.hashOfPart(part))) {
                    parts.put(part, tasks.part(i));
                }
            }
        });
    }

    /** Adds to the element of each shard the maximum size of the shard's finished sets, in bytes. */
    void addBytes(long[] bytesOfShard) {
        jobs.forEach((id, job) -> {
            for (int i = 0; i < progress.get(id).parts(); i++) {
                String part = WorkLog.part(id, i);
                bytesOfShard[Bucket.shardOf(Bucket.hashOfPart(part))] += LogSizes.part(part, WorkLog.TASKS_PER_PART);
            }
        });
    }

    private JobView.TaskProgress progressOf(String job) {
        return progress.computeIfAbsent(job, id -> new JobView.TaskProgress());
    }
}

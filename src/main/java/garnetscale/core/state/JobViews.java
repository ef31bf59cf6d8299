package garnetscale.core.state;

import garnetscale.core.machine.Placement;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The replica's jobs and the progress of their tasks, which may become known before the record of their job. */
final class JobViews {

    private final Map<String, JobView> jobs = new LinkedHashMap<>();
    private final Map<String, JobView.TaskProgress> progress = new HashMap<>();
    private long added;

    void clear() {
        jobs.clear();
        progress.clear();
    }

    /** The job, or null. */
    JobView get(String id) {
        return jobs.get(id);
    }

    /** All jobs, in the order in which they became known. */
    Collection<JobView> all() {
        return jobs.values();
    }

    /** How many jobs have been added since this process started, listings included. */
    long added() {
        return added;
    }

    /** Applies a job's stored value; null removes the job, but keeps the progress of its tasks. */
    void apply(String id, Object value, long modRevision) {
        if (value == null) {
            jobs.remove(id);
            return;
        }
        if (jobs.put(id, new JobView(Records.job(id, value), modRevision, progressOf(id))) == null) {
            added++;
        }
    }

    /** Drops the progress of jobs that were removed; later than their records, since log entries may still name them. */
    void dropProgress(List<String> removed) {
        removed.forEach(progress::remove);
    }

    /** Replaces a part of a job's finished set. */
    void applyFinished(String part, BitSet finished) {
        int slash = part.lastIndexOf('/');
        progressOf(part.substring(0, slash)).finish(Integer.parseInt(part.substring(slash + 1)), finished);
    }

    void place(Placement placement) {
        progressOf(placement.task().job()).place(placement.task().index(), true);
    }

    void free(Placement placement) {
        JobView.TaskProgress tasks = progress.get(placement.task().job());
        if (tasks != null) {
            tasks.place(placement.task().index(), false);
        }
    }

    /** Adds the parts of finished sets that belong to a bucket, of jobs that have a record. */
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

    /** Adds the bytes that finished sets take at the most, for each shard. */
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

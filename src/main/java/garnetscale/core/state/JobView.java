package garnetscale.core.state;

import garnetscale.core.job.JobRecord;
import garnetscale.core.job.JobSpec;
import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;

/**
 * A job in the replica: its record, its finished tasks and its placed tasks. A view stays the same object until the job's
 * record changes. The progress that it returns is always the replica's latest.
 */
public final class JobView {

    /**
     * The finished and the placed tasks of a job. Kept separately from the job's record, since a listing that is read in
     * pages may contain them before the record.
     */
    static final class TaskProgress {
        private final BitSet finished = new BitSet();
        private final BitSet placed = new BitSet();
        /**
         * Number of placements beyond the first, by task. A task may be placed on more than one machine while the replica
         * catches up with a listing.
         */
        private final Map<Integer, Integer> extraPlacements = new HashMap<>();

        private int finishedCount;
        private int placedCount;

        /** Adds one placement of a task if {@code added}, otherwise removes one. */
        void updatePlacement(int task, boolean added) {
            if (added && placed.get(task)) {
                extraPlacements.merge(task, 1, Integer::sum);
            } else if (!added && extraPlacements.containsKey(task)) {
                extraPlacements.merge(task, -1, (a, b) -> a + b == 0 ? null : a + b);
            } else if (placed.get(task) != added) {
                placed.set(task, added);
                placedCount += added ? 1 : -1;
            }
        }

        /** Replaces a part of the finished set; {@code tasks} are numbered from the start of the part. */
        void setFinishedPart(int part, BitSet tasks) {
            int first = part * WorkLog.TASKS_PER_PART;
            finishedCount += tasks.cardinality() - part(part).cardinality();
            finished.clear(first, first + WorkLog.TASKS_PER_PART);
            tasks.stream().forEach(i -> finished.set(first + i));
        }

        /** Returns the number of parts in the finished set, up to the last non-empty one. */
        int parts() {
            return (finished.length() + WorkLog.TASKS_PER_PART - 1) / WorkLog.TASKS_PER_PART;
        }

        /** Returns a copy of one part of the finished set; its tasks are numbered from the start of the part. */
        BitSet part(int part) {
            return finished.get(part * WorkLog.TASKS_PER_PART, (part + 1) * WorkLog.TASKS_PER_PART);
        }
    }

    private final JobRecord job;
    private final long modRevision;
    private final TaskProgress progress;

    JobView(JobRecord job, long modRevision, TaskProgress progress) {
        this.job = job;
        this.modRevision = modRevision;
        this.progress = progress;
    }

    /** Returns the specification that the user submitted. */
    public JobSpec spec() {
        return job.spec();
    }

    /** Returns the stored record. */
    public JobRecord job() {
        return job;
    }

    /** Returns the revision at which the record last changed, for guards. */
    public long modRevision() {
        return modRevision;
    }

    /** Returns whether the job is neither done nor cancelled. */
    public boolean isLive() {
        return !job.state().isTerminal();
    }

    /** Returns the number of finished tasks. */
    public int finishedCount() {
        return progress.finishedCount;
    }

    /** Returns the number of placed tasks. */
    public int placedCount() {
        return progress.placedCount;
    }

    /** Returns the number of tasks that are neither finished nor placed. */
    public int unstartedCount() {
        return job.spec().tasks() - progress.finishedCount - progress.placedCount;
    }

    /** Returns whether a task is finished. */
    public boolean isFinished(int task) {
        return progress.finished.get(task);
    }

    /** Returns whether a task is placed on some machine. */
    public boolean isPlaced(int task) {
        return progress.placed.get(task);
    }

    /** Returns a copy of the finished set, for the transaction that adds to it. */
    public BitSet finishedSet() {
        return (BitSet) progress.finished.clone();
    }

    /** Returns the first task at or after {@code from} that is neither finished nor placed, or -1 if there is none. */
    public int nextUnstarted(int from) {
        int task = from;
        while (task < job.spec().tasks()) {
            task = progress.finished.nextClearBit(task);
            if (!progress.placed.get(task)) {
                break;
            }
            task = progress.placed.nextClearBit(task);
            if (!progress.finished.get(task)) {
                break;
            }
        }
        return task < job.spec().tasks() ? task : -1;
    }
}

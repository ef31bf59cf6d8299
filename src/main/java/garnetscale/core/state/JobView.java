package garnetscale.core.state;

import garnetscale.core.job.JobRecord;
import garnetscale.core.job.JobSpec;
import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;

/**
 * A job as the replica knows it: its record, its finished tasks and its placed tasks. A view stays the same object until the
 * job's record changes, while the progress that it shows is always the replica's latest.
 */
public final class JobView {

    /**
     * Which tasks are finished and which are placed. Kept apart from the job's record, since a listing that is read in
     * pages may bring them before it.
     */
    static final class TaskProgress {
        private final BitSet finished = new BitSet();
        private final BitSet placed = new BitSet();
        /** Tasks that are placed on more than one machine while the replica catches up with a listing, and on how many more. */
        private final Map<Integer, Integer> morePlacements = new HashMap<>();

        private int finishedCount;
        private int placedCount;

        /** Adds ({@code on}) or removes one placement of a task. */
        void place(int task, boolean on) {
            if (on && placed.get(task)) {
                morePlacements.merge(task, 1, Integer::sum);
            } else if (!on && morePlacements.containsKey(task)) {
                morePlacements.merge(task, -1, (a, b) -> a + b == 0 ? null : a + b);
            } else if (placed.get(task) != on) {
                placed.set(task, on);
                placedCount += on ? 1 : -1;
            }
        }

        /** Replaces a part of the finished set; {@code tasks} are numbered from the start of the part. */
        void finish(int part, BitSet tasks) {
            int first = part * WorkLog.TASKS_PER_PART;
            finishedCount += tasks.cardinality() - part(part).cardinality();
            finished.clear(first, first + WorkLog.TASKS_PER_PART);
            tasks.stream().forEach(i -> finished.set(first + i));
        }

        /** How many parts the finished set has, up to the last one that isn't empty. */
        int parts() {
            return (finished.length() + WorkLog.TASKS_PER_PART - 1) / WorkLog.TASKS_PER_PART;
        }

        /** A part of the finished set, numbered from its start. */
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

    /** What the user submitted. */
    public JobSpec spec() {
        return job.spec();
    }

    /** The stored record. */
    public JobRecord job() {
        return job;
    }

    /** The revision at which the record last changed, for guards. */
    public long modRevision() {
        return modRevision;
    }

    /** Whether the job is neither done nor cancelled. */
    public boolean isLive() {
        return !job.state().isTerminal();
    }

    /** How many tasks are finished. */
    public int finishedCount() {
        return progress.finishedCount;
    }

    /** How many tasks are placed. */
    public int placedCount() {
        return progress.placedCount;
    }

    /** How many tasks are neither finished nor placed. */
    public int unstartedCount() {
        return job.spec().tasks() - progress.finishedCount - progress.placedCount;
    }

    /** Whether a task is finished. */
    public boolean isFinished(int task) {
        return progress.finished.get(task);
    }

    /** Whether a task is placed on some machine. */
    public boolean isPlaced(int task) {
        return progress.placed.get(task);
    }

    /** A copy of the finished set, for the transaction that adds to it. */
    public BitSet finishedSet() {
        return (BitSet) progress.finished.clone();
    }

    /** The first task from {@code from} on that is neither finished nor placed, or -1. */
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

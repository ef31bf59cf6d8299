package garnetscale.core.state;

import garnetscale.core.job.JobRecord;
import garnetscale.core.job.JobSpec;
import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;

/** A job as the replica knows it: its record, its finished tasks and those that are placed. */
public final class JobView {

    /**
     * Which tasks are finished and which are placed. They live apart from the job's record, since a listing that is
     * read in pages may bring them before it.
     */
    static final class TaskProgress {
        private final BitSet finished = new BitSet();
        private final BitSet placed = new BitSet();
        /** Tasks that stand on more than one machine while a listing is only half caught up, and on how many more. */
        private final Map<Integer, Integer> more = new HashMap<>();

        private int finishedCount;
        private int placedCount;

        void place(int task, boolean on) {
            if (on && placed.get(task)) {
                more.merge(task, 1, Integer::sum);
            } else if (!on && more.containsKey(task)) {
                more.merge(task, -1, (a, b) -> a + b == 0 ? null : a + b);
            } else if (placed.get(task) != on) {
                placed.set(task, on);
                placedCount += on ? 1 : -1;
            }
        }

        void finish(int part, BitSet tasks) {
            int base = part * WorkLog.TASKS_PER_PART;
            finishedCount += tasks.cardinality() - part(part).cardinality();
            finished.clear(base, base + WorkLog.TASKS_PER_PART);
            tasks.stream().forEach(i -> finished.set(base + i));
        }

        /** Parts of the finished set, up to the last that has any. */
        int parts() {
            return (finished.length() + WorkLog.TASKS_PER_PART - 1) / WorkLog.TASKS_PER_PART;
        }

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

    public JobSpec spec() {
        return job.spec();
    }

    public JobRecord job() {
        return job;
    }

    public long modRevision() {
        return modRevision;
    }

    public boolean live() {
        return !job.state().isTerminal();
    }

    public int finishedCount() {
        return progress.finishedCount;
    }

    public int placedCount() {
        return progress.placedCount;
    }

    /** Tasks that are neither finished nor placed. */
    public int unstarted() {
        return job.spec().tasks() - progress.finishedCount - progress.placedCount;
    }

    public boolean isFinished(int task) {
        return progress.finished.get(task);
    }

    public boolean isPlaced(int task) {
        return progress.placed.get(task);
    }

    /** A copy, for the transaction that adds to it. */
    public BitSet finishedSet() {
        return (BitSet) progress.finished.clone();
    }

    /** The first unstarted task from {@code from} on, or -1. */
    public int nextUnstarted(int from) {
        int i = from;
        while (i < job.spec().tasks()) {
            i = progress.finished.nextClearBit(i);
            if (!progress.placed.get(i)) {
                break;
            }
            i = progress.placed.nextClearBit(i);
            if (!progress.finished.get(i)) {
                break;
            }
        }
        return i < job.spec().tasks() ? i : -1;
    }
}

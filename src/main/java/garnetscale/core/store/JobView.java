package garnetscale.core.store;

import garnetscale.core.job.JobRecord;
import garnetscale.core.job.JobSpec;
import java.util.BitSet;

/** A job as the mirror knows it: its record, its finished tasks and those that are placed. */
public final class JobView {

    private final JobRecord job;
    private final long stamp;
    private final BitSet finished;
    private final BitSet placed;
    private int finishedCount;
    private int placedCount;

    JobView(JobRecord job, long stamp, JobView before) {
        this.job = job;
        this.stamp = stamp;
        this.finished = before == null ? new BitSet() : before.finished;
        this.placed = before == null ? new BitSet() : before.placed;
        this.finishedCount = finished.cardinality();
        this.placedCount = placed.cardinality();
    }

    public JobSpec spec() {
        return job.spec();
    }

    public JobRecord job() {
        return job;
    }

    public long stamp() {
        return stamp;
    }

    public boolean live() {
        return !job.state().isTerminal();
    }

    public int finishedCount() {
        return finishedCount;
    }

    public int placedCount() {
        return placedCount;
    }

    /** Tasks that are neither finished nor placed. */
    public int unstarted() {
        return job.spec().tasks() - finishedCount - placedCount;
    }

    public boolean isFinished(int task) {
        return finished.get(task);
    }

    public boolean isPlaced(int task) {
        return placed.get(task);
    }

    /** A copy, for the transaction that adds to it. */
    public BitSet finishedSet() {
        return (BitSet) finished.clone();
    }

    /** The first unstarted task from {@code from} on, or -1. */
    public int nextUnstarted(int from) {
        int i = from;
        while (i < job.spec().tasks()) {
            i = finished.nextClearBit(i);
            if (!placed.get(i)) {
                break;
            }
            i = placed.nextClearBit(i);
            if (!finished.get(i)) {
                break;
            }
        }
        return i < job.spec().tasks() ? i : -1;
    }

    void place(int task, boolean on) {
        placed.set(task, on);
        placedCount = placed.cardinality();
    }

    void finish(int shard, BitSet part) {
        int base = shard * Records.SHARD;
        finished.clear(base, base + Records.SHARD);
        part.stream().forEach(i -> finished.set(base + i));
        finishedCount = finished.cardinality();
    }
}

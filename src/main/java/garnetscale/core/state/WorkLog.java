package garnetscale.core.state;

import java.util.BitSet;
import java.util.Map;

/**
 * The log in which placements and finished sets are stored. A finished set holds the finished tasks of a job. Each
 * transaction of the leader writes one numbered entry, with the change of every machine and the new part of every finished
 * set that it affects. One write to the store thus carries a whole award or a batch of exits. With one key per machine, the
 * store's limit on changes per second would limit how many tasks can start per second.
 *
 * <p>Entries are stored in a ring buffer of keys. Each overwrites an entry that the snapshot already contains. Machines and
 * finished sets are distributed over the snapshot's shards by hash. When a compaction is due, a transaction rewrites the
 * snapshot region with the lowest sequence number. To load the store, a controller applies the snapshot and then, to each
 * region, the entries after the region's sequence number. Listings return the entries before the snapshot: an entry that is
 * overwritten before it is listed is then contained in the snapshot pages that are listed after it.
 *
 * @see Bucket how a shard is split further
 */
public final class WorkLog {

    /** Number of shards of the snapshot. */
    static final int SHARDS = 32;
    /** Entries in the ring buffer per region; leaves time to postpone compactions before the ring buffer is full. */
    private static final int ENTRIES_PER_REGION = 3;
    /** Entries in the ring buffer while no shard is split, and always in the first layout. */
    static final int FIRST_CAPACITY = ENTRIES_PER_REGION * SHARDS;
    /** Tasks per part of a finished set. Parts stay small for a job of any size, so that one exit writes little. */
    static final int TASKS_PER_PART = 2048;

    private WorkLog() {}

    /**
     * An entry of the log.
     *
     * @param sequence its sequence number
     * @param before   the sequence number of the preceding entry, usually {@code sequence - 1}
     * @param machines changes of machine records, by machine
     * @param parts    new parts of finished sets, by {@link #partOf name}
     */
    record Entry(long sequence, long before, Map<String, Delta> machines, Map<String, BitSet> parts) {}

    /**
     * The contents of a bucket of the snapshot, or of one page of it.
     *
     * @param sequence the sequence number of the last entry that is contained
     * @param machines machine records, by machine
     * @param parts    parts of finished sets, by {@link #partOf name}
     */
    record Contents(long sequence, Map<String, MachineRecord> machines, Map<String, BitSet> parts) {}

    /** Returns the name of a part of a job's finished set, by the part's index. */
    static String part(String job, int part) {
        return job + "/" + part;
    }

    /** Returns the name of the part of a job's finished set that contains a task. */
    public static String partOf(String job, int task) {
        return part(job, task / TASKS_PER_PART);
    }

    /** Returns the named part of a whole finished set; its tasks are numbered from the start of the part. */
    public static BitSet bitsOf(BitSet all, String part) {
        int first = TASKS_PER_PART * Integer.parseInt(part.substring(part.lastIndexOf('/') + 1));
        return all.get(first, first + TASKS_PER_PART);
    }

    /** Returns the key of a snapshot page. */
    static String pageKey(int shard, int page) {
        return Keys.SNAPSHOT + shard + "/" + page;
    }

    /**
     * Returns whether a compaction is due for a snapshot region that contains the entries up to {@code regionSequence}.
     *
     * @param sequence the sequence number of the last entry in the log
     * @param regions  the number of regions in the snapshot
     */
    static boolean isCompactionDue(long regionSequence, long sequence, int regions) {
        return sequence - regionSequence >= capacity(regions) / 2;
    }

    /** Returns the number of entries that the ring buffer can hold for a snapshot with {@code regions} regions. */
    static int capacity(int regions) {
        return ENTRIES_PER_REGION * regions;
    }
}

package garnetscale.core.state;

import java.util.BitSet;
import java.util.Map;

/**
 * How placements and finished sets are stored: one numbered entry for each transaction of the leader, with the change of
 * every machine and the new part of every finished set that it touches. One change of the store so carries a whole award or
 * a batch of exits; with a key for each machine, the store's limit of changes per second would bound how many tasks can
 * start in a second.
 *
 * <p>Entries are stored in a ring buffer of keys, each written over an entry that the snapshot contains by then: machines
 * and finished sets are spread over shards by hash, and every now and then a transaction compacts the region of the
 * snapshot that is furthest behind, which means that it rewrites the region. Reading the store means reading the
 * snapshot and then, for each region, the entries after the region's number.
 *
 * @see Bucket how a shard is split further
 */
public final class WorkLog {

    /** Shards of the snapshot. */
    static final int SHARDS = 32;
    /** Entries in the ring buffer for each region: a compaction may be put off for long before the ring buffer is full. */
    private static final int ENTRIES_PER_REGION = 3;
    /** Entries in the ring buffer while no shard is split, and always in the first layout. */
    static final int FIRST_CAPACITY = ENTRIES_PER_REGION * SHARDS;
    /** Tasks per part of a finished set, so that a job of any size keeps each part small and one exit writes little. */
    static final int TASKS_PER_PART = 2048;

    private WorkLog() {}

    /**
     * An entry.
     *
     * @param before   the number of the entry that it follows
     * @param machines changes of machine records, by machine
     * @param parts    new parts of finished sets, by {@link #partOf name}
     */
    record Entry(long number, long before, Map<String, Delta> machines, Map<String, BitSet> parts) {}

    /**
     * The contents of a bucket of the snapshot, or of one page of it.
     *
     * @param number the last entry that is contained
     */
    record Contents(long number, Map<String, MachineRecord> machines, Map<String, BitSet> parts) {}

    /** The name of a part of a job's finished set. */
    static String part(String job, int part) {
        return job + "/" + part;
    }

    /** The name of the part of a job's finished set that a task is in. */
    public static String partOf(String job, int task) {
        return part(job, task / TASKS_PER_PART);
    }

    /** The bits of a named part, numbered from 0, of a whole finished set. */
    public static BitSet bitsOf(BitSet all, String part) {
        int first = TASKS_PER_PART * Integer.parseInt(part.substring(part.lastIndexOf('/') + 1));
        return all.get(first, first + TASKS_PER_PART);
    }

    /** The key of a page of a shard's snapshot. */
    static String pageKey(int shard, int page) {
        return Keys.SNAPSHOT + shard + "/" + page;
    }

    /** Whether a region of the snapshot that contains entries up to {@code number} is to be compacted. */
    static boolean isDue(long number, long sequence, int regions) {
        return sequence - number >= capacity(regions) / 2;
    }

    /** How many entries the ring buffer holds when the snapshot has so many regions. */
    static int capacity(int regions) {
        return ENTRIES_PER_REGION * regions;
    }
}

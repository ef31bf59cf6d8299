package garnetscale.core.state;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.LongStream;

/**
 * The replica of the work log: the keys under which entries and snapshot pages are stored, the last entry that has been
 * applied, and the region that the next transaction has to compact. Applies entries to machine records and jobs.
 */
final class LogReplica {

    private final ClusterState cluster;
    private final JobViews jobs;
    private final MachineRecords machines;

    private SnapshotIndex snapshot = new SnapshotIndex();
    private LogRingBuffer ringBuffer = new LogRingBuffer();
    /** The snapshot as of the last listing; each region already contains the entries up to its sequence number. */
    private SnapshotIndex listedSnapshot = snapshot;

    /** The highest sequence number of any region in the listed snapshot. */
    private long listedUpTo;
    /** The sequence number of the last entry that was applied. */
    private long sequence;

    private boolean inconsistent;

    LogReplica(ClusterState cluster, JobViews jobs, MachineRecords machines) {
        this.cluster = cluster;
        this.jobs = jobs;
        this.machines = machines;
    }

    void clear() {
        snapshot = new SnapshotIndex();
        ringBuffer = new LogRingBuffer();
        inconsistent = false;
    }

    /** Loads the snapshot from a listing, then applies the listed entries that follow it. */
    void load(SnapshotListing listing, TreeMap<Long, WorkLog.Entry> entries) {
        snapshot = listing.index();
        inconsistent = listing.isInconsistent();
        listing.forEachMachine(machines::apply);
        listing.forEachPart(jobs::applyFinished);
        listedSnapshot = snapshot.copy();
        listedUpTo = snapshot.newest();
        // Pages of a listing are read at different revisions, so entries may be missing. The watch
        // delivers the entries after the first gap again.
        sequence = snapshot.oldest().sequence();
        apply(entries);
    }

    /** Applies entries from a watch. A gap in their sequence makes the replica inconsistent. */
    void advance(TreeMap<Long, WorkLog.Entry> entries) {
        apply(entries);
        inconsistent |= !entries.isEmpty() && entries.lastKey() > sequence;
    }

    /** Returns whether entries or snapshot pages are missing, so that a new listing is required. */
    boolean isInconsistent() {
        return inconsistent;
    }

    /** Records the key of an entry, and adds the entry to those to apply. For a deleted key, removes the key. */
    void trackEntry(KeyChange change, TreeMap<Long, WorkLog.Entry> entries) {
        if (change.value() == null) {
            ringBuffer.remove(change.key());
        } else {
            ringBuffer.put(change.key(), addEntry(change, entries));
        }
    }

    /** Adds an entry to those to apply, and returns its sequence number. */
    static long addEntry(KeyChange change, TreeMap<Long, WorkLog.Entry> entries) {
        WorkLog.Entry entry = LogCodec.decodeEntry(change.value());
        entries.put(entry.sequence(), entry);
        return entry.sequence();
    }

    /**
     * Records that a snapshot page was stored or deleted. Its contents have already been applied; its sequence number
     * determines the next compaction.
     */
    void trackSnapshotPage(KeyChange change) {
        if (change.value() != null) {
            snapshot.put(change.key(), LogCodec.sequenceOf(change.value()));
        } else {
            snapshot.remove(change.key());
        }
    }

    /** Applies the entries that follow the last applied entry without a gap. */
    private void apply(TreeMap<Long, WorkLog.Entry> entries) {
        Map.Entry<Long, WorkLog.Entry> next = entries.higherEntry(sequence);
        while (next != null && next.getValue().before() == sequence) {
            apply(next.getValue());
            next = entries.higherEntry(sequence);
        }
    }

    /**
     * Applies an entry, except to machines and finished sets whose listed snapshot region already contains it. Snapshot
     * pages are listed after the entries, so a page may be newer than an entry.
     */
    private void apply(WorkLog.Entry entry) {
        entry.machines().forEach((id, delta) -> {
            if (isNewer(entry, Bucket.hashOfMachine(id))) {
                machines.apply(id, delta.applyTo(machines.get(id)));
            }
        });
        entry.parts().forEach((part, finished) -> {
            if (isNewer(entry, Bucket.hashOfPart(part))) {
                jobs.applyFinished(part, finished);
            }
        });
        sequence = entry.sequence();
    }

    private boolean isNewer(WorkLog.Entry entry, int hash) {
        return entry.sequence() > listedUpTo
                || entry.sequence() > listedSnapshot.regionOf(hash).sequence();
    }

    /** Returns the sequence number of the last entry that was applied. */
    long sequence() {
        return sequence;
    }

    /** Returns the index of the stored snapshot buckets. */
    SnapshotIndex snapshot() {
        return snapshot;
    }

    /** Returns the snapshot region that the next transaction should compact, or null if no compaction is due. */
    SnapshotIndex.Region compactionDue() {
        SnapshotIndex.Region oldest = snapshot.oldest();
        boolean due = WorkLog.isCompactionDue(oldest.sequence(), sequence, snapshot.regionCount())
                || isFull()
                || cluster.isFirstLayoutActive() && ringBuffer.newestBeyondFirstLayout() > oldest.sequence();
        return due ? oldest : null;
    }

    /** Returns whether a region has to be compacted before the next entry may be written. */
    boolean isFull() {
        long complete = snapshot.oldest().sequence();
        return cluster.isFirstLayoutActive()
                ? ringBuffer.holdsNewerThan(complete, LogRingBuffer.firstLayoutKey(sequence + 1))
                : ringBuffer.isFull(capacity(), complete);
    }

    /**
     * Returns the ring buffer keys to delete: while the first layout is active, those that it doesn't use and whose entries
     * are in the snapshot, otherwise none.
     */
    List<String> keysToDelete() {
        return cluster.isFirstLayoutActive()
                ? ringBuffer.compactedKeysBeyondFirstLayout(snapshot.oldest().sequence())
                : List.of();
    }

    /**
     * Returns whether all records are stored in a form that the active version allows. If not, the leader is still converting
     * them to the first layout.
     */
    boolean isConverted() {
        return !cluster.isFirstLayoutActive() || !snapshot.isSplit() && ringBuffer.newestBeyondFirstLayout() == 0;
    }

    /**
     * Returns whether any shard needs more than {@code pages} pages of the first layout.
     *
     * @param valueBytes the maximum size of a stored value, in bytes
     * @param pages      the maximum number of pages of a shard
     */
    boolean hasOutgrownFirstLayout(int valueBytes, int pages) {
        long[] bytesOfShard = new long[WorkLog.SHARDS];
        machines.addBytes(bytesOfShard);
        jobs.addBytes(bytesOfShard);
        return LongStream.of(bytesOfShard).max().orElse(0) > (long) pages * LogWriter.pageBytes(valueBytes);
    }

    /** Returns the key of the last applied entry, or null if no such key is stored. */
    String lastEntryKey() {
        return ringBuffer.keyOf(sequence);
    }

    /** Returns the key under which the next entry is written. */
    String nextEntryKey() {
        return cluster.isFirstLayoutActive()
                ? LogRingBuffer.firstLayoutKey(sequence + 1)
                : ringBuffer.nextKey(capacity());
    }

    private int capacity() {
        return WorkLog.capacity(snapshot.regionCount());
    }

    /** Returns the layout version that a controller must support to read the stored work log. */
    int layout() {
        return snapshot.isSplit() ? Layouts.SPLIT_SNAPSHOT : Layouts.FIRST;
    }

    /**
     * Returns the contents of a snapshot bucket as of the last applied entry, without finished sets of removed jobs, such as
     * archived terminal jobs.
     */
    WorkLog.Contents contents(Bucket bucket) {
        WorkLog.Contents contents = new WorkLog.Contents(sequence, new LinkedHashMap<>(), new LinkedHashMap<>());
        machines.addRecordsOf(bucket, contents.machines());
        jobs.addPartsOf(bucket, contents.parts());
        return contents;
    }
}

package garnetscale.core.state;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.LongStream;

/**
 * The replica's view of the work log: which entries and snapshots are stored under which keys, the last entry that has
 * been applied, and what the next transaction has to compact. It applies entries to machine records and jobs.
 */
final class LogReplica {

    private final ClusterState cluster;
    private final JobViews jobs;
    private final MachineRecords machines;

    private SnapshotIndex snapshot = new SnapshotIndex();
    private LogRingBuffer ringBuffer = new LogRingBuffer();
    /** The snapshot as it was listed: entries up to its numbers are in it already. */
    private SnapshotIndex listedSnapshot = snapshot;

    private long listedUpTo;
    /** The last entry that was applied. */
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

    /** Takes the snapshots of a listing and the entries that follow them. */
    void load(SnapshotListing listing, TreeMap<Long, WorkLog.Entry> entries) {
        snapshot = listing.index();
        inconsistent = listing.isInconsistent();
        listing.forEachMachine(machines::apply);
        listing.forEachPart(jobs::applyFinished);
        listedSnapshot = snapshot.copy();
        listedUpTo = snapshot.newest();
        // Pages of a listing are of different moments: behind the first gap are entries that the watch brings again.
        sequence = snapshot.oldest().number();
        apply(entries);
    }

    /** Applies the entries that a watch brought; one that doesn't follow the last one makes the replica inconsistent. */
    void advance(TreeMap<Long, WorkLog.Entry> entries) {
        apply(entries);
        inconsistent |= !entries.isEmpty() && entries.lastKey() > sequence;
    }

    /** Whether entries or pages of a snapshot are missing: only a new listing helps. */
    boolean isInconsistent() {
        return inconsistent;
    }

    /** Takes note of the key of an entry, and adds the entry to those that are to be applied unless it was deleted. */
    void noteEntry(KeyChange change, TreeMap<Long, WorkLog.Entry> entries) {
        if (change.value() == null) {
            ringBuffer.remove(change.key());
        } else {
            ringBuffer.put(change.key(), addEntry(change, entries));
        }
    }

    /** Adds an entry to those that are to be applied; returns its number. */
    static long addEntry(KeyChange change, TreeMap<Long, WorkLog.Entry> entries) {
        WorkLog.Entry entry = LogCodec.decodeEntry(change.value());
        entries.put(entry.number(), entry);
        return entry.number();
    }

    /** Takes note of a snapshot page. Its content has been applied already; its number matters for the next compaction. */
    void noteSnapshot(KeyChange change) {
        if (change.value() != null) {
            snapshot.put(change.key(), LogCodec.numberOf(change.value()));
        } else {
            snapshot.remove(change.key());
        }
    }

    /** Applies the entries that follow the last one without a gap. */
    private void apply(TreeMap<Long, WorkLog.Entry> entries) {
        Map.Entry<Long, WorkLog.Entry> next = entries.higherEntry(sequence);
        while (next != null && next.getValue().before() == sequence) {
            apply(next.getValue());
            next = entries.higherEntry(sequence);
        }
    }

    /** Snapshots listed later than the entries may be ahead of them: what these hold is newer than such an entry. */
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
        sequence = entry.number();
    }

    private boolean isNewer(WorkLog.Entry entry, int hash) {
        return entry.number() > listedUpTo
                || entry.number() > listedSnapshot.regionOf(hash).number();
    }

    /** Number of the last entry that was applied. */
    long sequence() {
        return sequence;
    }

    /** How the snapshot is stored. */
    SnapshotIndex snapshot() {
        return snapshot;
    }

    /** The region of the snapshot that the next transaction should compact, or null. */
    SnapshotIndex.Region compactionDue() {
        SnapshotIndex.Region oldest = snapshot.oldest();
        boolean due = WorkLog.isDue(oldest.number(), sequence, snapshot.regionCount())
                || isFull()
                || cluster.inFirstVersion() && ringBuffer.newestBeyondFirstLayout() > oldest.number();
        return due ? oldest : null;
    }

    /** Whether a region has to be compacted before the next entry may be written. */
    boolean isFull() {
        long complete = snapshot.oldest().number();
        return cluster.inFirstVersion()
                ? ringBuffer.holdsNewerThan(complete, LogRingBuffer.firstLayoutKey(sequence + 1))
                : ringBuffer.isFull(capacity(), complete);
    }

    /** Keys of the ring buffer that the first layout doesn't use and that are no longer needed; in the first version. */
    List<String> keysToDelete() {
        return cluster.inFirstVersion()
                ? ringBuffer.beyondFirstLayout(snapshot.oldest().number())
                : List.of();
    }

    /** Whether everything is stored as the active version says: else the leader is still converting it. */
    boolean isConverted() {
        return !cluster.inFirstVersion() || !snapshot.isSplit() && ringBuffer.newestBeyondFirstLayout() == 0;
    }

    /** Whether some shard takes more than so many pages of the first layout. */
    boolean hasOutgrownFirstLayout(int valueBytes, int pages) {
        long[] bytesOfShard = new long[WorkLog.SHARDS];
        machines.addBytes(bytesOfShard);
        jobs.addBytes(bytesOfShard);
        return LongStream.of(bytesOfShard).max().orElse(0) > (long) pages * LogWriter.pageBytes(valueBytes);
    }

    /** The key of the last entry, or null when there is none. */
    String lastEntryKey() {
        return ringBuffer.keyOf(sequence);
    }

    /** The key that the next entry goes under. */
    String nextEntryKey() {
        return cluster.inFirstVersion() ? LogRingBuffer.firstLayoutKey(sequence + 1) : ringBuffer.next(capacity());
    }

    private int capacity() {
        return WorkLog.capacity(snapshot.regionCount());
    }

    /** The layout that a controller has to know to read what is stored. */
    int layout() {
        return snapshot.isSplit() ? Layouts.SPLIT_SNAPSHOT : Layouts.FIRST;
    }

    /** The content of a bucket of the snapshot as of the last entry, without finished sets of jobs that are terminal. */
    WorkLog.Contents contents(Bucket bucket) {
        WorkLog.Contents contents = new WorkLog.Contents(sequence, new LinkedHashMap<>(), new LinkedHashMap<>());
        machines.addRecordsOf(bucket, contents.machines());
        jobs.addPartsOf(bucket, contents.parts());
        return contents;
    }
}

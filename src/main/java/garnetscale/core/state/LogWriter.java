package garnetscale.core.state;

import garnetscale.core.job.JobSpec;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** Adds the work log's operations to one transaction: the next entry, and the compaction of a region if one is due. */
public final class LogWriter {

    /**
     * Limits of a leader's transaction.
     *
     * @param valueBytes  maximum size of one value, in bytes
     * @param ops         maximum number of puts and deletes
     * @param layout      the layout version to write
     * @param forcesSplit whether to split a shard even if its contents fit, so that controllers that support only the first
     *                    layout stay inactive
     */
    public record Limits(int valueBytes, int ops, int layout, boolean forcesSplit) {}

    /** Maximum size of a transaction. */
    static final int TRANSACTION_BYTES = 64 * 1024;
    /** Part of a transaction that is reserved for guards and the records of terminal jobs. */
    static final int RESERVED_BYTES = 14 * 1024;

    /** Size of an attempt that is freed or stopped. */
    private static final int ATTEMPT_BYTES = 28;
    /**
     * Margin for the images of a machine, which a placement may change, and for a part of a finished set, which an exit may
     * change.
     */
    private static final int MARGIN_BYTES = 1024;

    private final StateReplica replica;
    private final LogReplica log;
    private final Compaction compaction;
    private int bytesLeft;

    /**
     * Creates a writer of the first layout, which never splits a region.
     *
     * @param valueBytes maximum size of one value, in bytes
     */
    public LogWriter(StateReplica replica, int valueBytes) {
        this(replica, new Limits(valueBytes, Integer.MAX_VALUE, Layouts.FIRST, false));
    }

    /** Creates a writer of the entry that follows the last one in the replica. */
    public LogWriter(StateReplica replica, Limits limits) {
        this.replica = replica;
        this.log = replica.log();
        this.compaction = new Compaction(log, limits);
        int pageBytes = pageBytes(limits.valueBytes());
        // Compacting a larger shard leaves less room for the entry, or none.
        this.bytesLeft = log.isFull()
                ? 0
                : Math.min(
                        pageBytes,
                        TRANSACTION_BYTES - RESERVED_BYTES - compaction.puts().size() * pageBytes);
    }

    /** Returns the maximum size of a snapshot page in bytes, given the maximum size of a value. */
    static int pageBytes(int valueBytes) {
        return Math.min(valueBytes, TRANSACTION_BYTES / 4) * 15 / 16;
    }

    /** Returns the number of puts and deletes that {@link #write} adds to the transaction. */
    public int ops() {
        return 1 + compaction.puts().size() + compaction.deletes().size();
    }

    /** Returns whether a compaction is due, so that the transaction is worth sending even without an entry. */
    public boolean compacts() {
        return !compaction.puts().isEmpty() || !compaction.deletes().isEmpty();
    }

    /** Returns whether this many bytes fit into the entry, with a margin for images and a part of a finished set. */
    public boolean fits(int bytes) {
        return bytes + MARGIN_BYTES <= bytesLeft;
    }

    /** Reserves this many bytes of the entry. */
    public void reserve(int bytes) {
        bytesLeft -= bytes;
    }

    /** Returns the size in bytes of a machine's change without attempts and images. */
    public int sizeOfMachine(String machine, String zone) {
        return LogSizes.emptyMachine(machine, zone);
    }

    /** Returns the size in bytes of an attempt that is freed or stopped. */
    public static int sizeOfAttempt() {
        return ATTEMPT_BYTES;
    }

    /** Returns the size in bytes of a placement on a machine with these images; a new image causes all to be written. */
    public static int sizeOfPlacement(JobSpec job, Set<String> images) {
        return LogSizes.placement(job.id())
                + (images.contains(job.image()) ? 0 : LogSizes.images(images) + LogSizes.image(job.image()));
    }

    /** Returns the maximum size in bytes of a part of the finished set of a job with {@code tasks} tasks. */
    public static int sizeOfPart(String part, int tasks) {
        return LogSizes.part(part, tasks);
    }

    /**
     * Adds the entry, if it changes any machine or is needed for the first split, and the compaction, if one is due. Also
     * guards the keys of the last and of the next entry, so that the transaction fails if either has changed. Without an entry,
     * these keys stay as they are; the guards of the compacted keys prevent that the transaction is applied twice.
     *
     * @param machines new machine records, by machine; {@link MachineRecord#NONE} removes a record
     * @param parts    new parts of finished sets, by {@link WorkLog#partOf name}
     */
    public void write(Transaction transaction, Map<String, MachineRecord> machines, Map<String, BitSet> parts) {
        String last = log.lastEntryKey();
        if (last != null) {
            transaction.guard(last, replica.modRevision(last));
        }
        String key = log.nextEntryKey();
        transaction.guard(key, replica.modRevision(key));
        if (!machines.isEmpty() || compaction.isFirstSplit()) {
            if (log.isFull()) {
                throw new IllegalStateException("log is full: the entry after sequence number " + log.sequence()
                        + " would overwrite the entry under " + key + ", which isn't in the snapshot yet");
            }
            transaction.put(key, LogCodec.encodeEntry(entry(machines, parts)));
        }
        compaction.puts().forEach((page, value) -> transaction
                .guard(page, replica.modRevision(page))
                .put(page, value));
        compaction.deletes().forEach(deleted -> transaction
                .guard(deleted, replica.modRevision(deleted))
                .delete(deleted));
    }

    /**
     * Builds the next entry. The first split skips a sequence number: a controller that supports only layout 1 finds the entry
     * with that number missing, lists the keys again, and finds the listing inconsistent by the rules of layout 1.
     */
    private WorkLog.Entry entry(Map<String, MachineRecord> machines, Map<String, BitSet> parts) {
        long before = log.sequence();
        Map<String, Delta> changes = new LinkedHashMap<>();
        machines.forEach((id, machine) -> changes.put(id, Delta.between(replica.machine(id), machine)));
        return new WorkLog.Entry(compaction.isFirstSplit() ? before + 2 : before + 1, before, changes, parts);
    }
}

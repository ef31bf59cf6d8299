package garnetscale.core.state;

import garnetscale.core.job.JobSpec;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** Writes the work log's part of one transaction: its entry, and the compaction of a region when one is due. */
public final class LogWriter {

    /**
     * What a transaction of the leader may hold.
     *
     * @param valueBytes bytes of one value
     * @param ops        puts and deletes
     * @param layout     the layout that may be written
     * @param forcesSplit  whether a shard has to be split in any case, so that controllers of the first layout stay out
     */
    public record Limits(int valueBytes, int ops, int layout, boolean forcesSplit) {}

    /** What a transaction may hold in all. */
    static final int TRANSACTION_BYTES = 64 * 1024;
    /** What is left of it for guards and the records of terminal jobs. */
    static final int RESERVED_BYTES = 14 * 1024;

    /** An attempt that is freed or stopped. */
    private static final int ATTEMPT_BYTES = 28;
    /** The images of a machine, which a placement may change, and a part of a finished set, which an exit may. */
    private static final int MARGIN_BYTES = 1024;

    private final StateReplica replica;
    private final LogReplica log;
    private final Compaction compaction;
    private int bytesLeft;

    /**
     * A writer that never splits a region.
     *
     * @param valueBytes the most bytes that a value may have
     */
    public LogWriter(StateReplica replica, int valueBytes) {
        this(replica, new Limits(valueBytes, Integer.MAX_VALUE, Layouts.FIRST, false));
    }

    /** A writer of the entry after the last one that the replica knows. */
    public LogWriter(StateReplica replica, Limits limits) {
        this.replica = replica;
        this.log = replica.log();
        this.compaction = new Compaction(log, limits);
        int pageBytes = pageBytes(limits.valueBytes());
        // A shard that is larger than usual leaves less for the entry, or nothing at all this time.
        this.bytesLeft = log.isFull()
                ? 0
                : Math.min(
                        pageBytes,
                        TRANSACTION_BYTES - RESERVED_BYTES - compaction.puts().size() * pageBytes);
    }

    /** What a page of a snapshot may take, by the largest value that is allowed. */
    static int pageBytes(int valueBytes) {
        return Math.min(valueBytes, TRANSACTION_BYTES / 4) * 15 / 16;
    }

    /** How many puts and deletes it adds to the transaction by itself. */
    public int ops() {
        return 1 + compaction.puts().size() + compaction.deletes().size();
    }

    /** Whether it compacts anything, so that the transaction is worth sending without an entry. */
    public boolean compacts() {
        return !compaction.puts().isEmpty() || !compaction.deletes().isEmpty();
    }

    /** Whether so many bytes, and what a change of a machine usually brings, fit into the entry. */
    public boolean fits(int bytes) {
        return bytes + MARGIN_BYTES <= bytesLeft;
    }

    /** Takes so many bytes of the entry. */
    public void reserve(int bytes) {
        bytesLeft -= bytes;
    }

    /** Bytes of a machine's change by itself. */
    public int sizeOfMachine(String machine, String zone) {
        return LogSizes.emptyMachine(machine, zone);
    }

    /** Bytes of an attempt that is freed or stopped. */
    public static int sizeOfAttempt() {
        return ATTEMPT_BYTES;
    }

    /** Bytes of a placement on a machine that has these images; with a new image all of them are written. */
    public static int sizeOfPlacement(JobSpec job, Set<String> images) {
        return LogSizes.placement(job.id())
                + (images.contains(job.image()) ? 0 : LogSizes.images(images) + LogSizes.image(job.image()));
    }

    /** Bytes of a part of the finished set of a job with so many tasks. */
    public static int sizeOfPart(String part, int tasks) {
        return LogSizes.part(part, tasks);
    }

    /**
     * Adds the entry, if it changes anything, and the compaction, if one is due.
     *
     * @param machines records as they are to be, by machine
     * @param parts    new parts of finished sets, by name
     */
    public void write(Transaction transaction, Map<String, MachineRecord> machines, Map<String, BitSet> parts) {
        String last = log.lastEntryKey();
        if (last != null) {
            transaction.guard(last, replica.modRevision(last));
        }
        String key = log.nextEntryKey();
        transaction.guard(key, replica.modRevision(key));
        if (!machines.isEmpty() || compaction.splitsFirst()) {
            if (log.isFull()) {
                throw new IllegalStateException("no entry may be written under " + key
                        + ": the snapshot doesn't contain the entry that is stored there");
            }
            transaction.put(key, LogCodec.encodeEntry(entry(machines, parts)));
        }
        compaction.puts().forEach(transaction::put);
        compaction.deletes().forEach(transaction::delete);
    }

    /**
     * The next entry. With the first split a number is left out: a controller that follows the log by layout 1 misses the
     * entry of that number, lists the store again, and finds it inconsistent by what it knows.
     */
    private WorkLog.Entry entry(Map<String, MachineRecord> machines, Map<String, BitSet> parts) {
        long before = log.sequence();
        Map<String, Delta> changes = new LinkedHashMap<>();
        machines.forEach((id, machine) -> changes.put(id, Delta.between(replica.machine(id), machine)));
        return new WorkLog.Entry(compaction.splitsFirst() ? before + 2 : before + 1, before, changes, parts);
    }
}

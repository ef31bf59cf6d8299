package garnetscale.core.store;

import garnetscale.core.job.JobSpec;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Writes the work log's part of one transaction: its entry, and the base of a shard when one is due. */
public final class LogWriter {

    /** What a transaction may hold in all, and what is left of it for guards and the ends of jobs. */
    private static final int TXN_BYTES = 64 * 1024;

    private static final int ASIDE = 14 * 1024;
    /** An attempt that is freed or stopped. */
    private static final int ATTEMPT = 28;
    /** The images of a machine, which a placement may change, and a part of a finished set, which a finish may. */
    private static final int MARGIN = 1024;

    private final StateReplica replica;
    private final List<WorkLog.Contents> fold;
    private final int shard;
    private int left;

    public LogWriter(StateReplica replica, int valueBytes) {
        this.replica = replica;
        this.shard = replica.foldDue();
        int pageBytes = Math.min(valueBytes, TXN_BYTES / 4) * 15 / 16;
        this.fold = shard < 0 ? List.of() : WorkLog.pages(replica.shard(shard), pageBytes);
        // A shard that has grown beyond the ordinary leaves less for the entry, or nothing at all this time.
        this.left = replica.logFull() ? 0 : Math.min(pageBytes, TXN_BYTES - ASIDE - fold.size() * pageBytes);
    }

    /** Changes that it makes by itself. */
    public int ops() {
        return shard < 0 ? 1 : 1 + Math.max(fold.size(), replica.pages(shard));
    }

    public boolean folds() {
        return shard >= 0;
    }

    /** Whether so many bytes and what a change of a machine usually brings fit into the entry. */
    public boolean fits(int bytes) {
        return bytes + MARGIN <= left;
    }

    public void take(int bytes) {
        left -= bytes;
    }

    /** What a change of a machine takes by itself. */
    public int sizeOfRow(String machine, String zone) {
        return WorkLog.rowSize(machine, zone);
    }

    public static int sizeOfAttempt() {
        return ATTEMPT;
    }

    /** A placement; with a new image all images of the machine are written. */
    public static int sizeOfPlacement(JobSpec job, Set<String> images) {
        return job.id().length()
                + WorkLog.ROW
                + (images.contains(job.image()) ? 0 : WorkLog.imagesSize(images) + WorkLog.imageSize(job.image()));
    }

    public static int sizeOfPart(String part, int tasks) {
        return WorkLog.size(part, tasks);
    }

    /** Adds the entry, if it holds anything, and the fold, if one is due. */
    public void write(Txn txn, Map<String, MachineRecord> machines, Map<String, BitSet> parts) {
        String last = WorkLog.key(replica.sequence());
        txn.guard(last, replica.stamp(last));
        long next = replica.sequence() + 1;
        if (!machines.isEmpty()) {
            String key = WorkLog.key(next);
            txn.guard(key, replica.stamp(key));
            Map<String, Delta> changes = new LinkedHashMap<>();
            machines.forEach((id, m) -> changes.put(id, Delta.between(replica.machine(id), m)));
            txn.put(key, WorkLog.value(new WorkLog.Entry(next, changes, parts)));
        }
        for (int page = 0; page < fold.size(); page++) {
            txn.put(WorkLog.baseKey(shard, page), WorkLog.pageValue(fold.get(page), fold.size()));
        }
        for (int page = fold.size(); folds() && page < replica.pages(shard); page++) {
            txn.delete(WorkLog.baseKey(shard, page));
        }
    }
}

package garnetscale.core.store;

import garnetscale.core.job.JobSpec;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Writes the work log's part of one transaction: its entry, and a region of the base when one is due. */
public final class LogWriter {

    /**
     * What a transaction of the leader may hold.
     *
     * @param valueBytes bytes of one value
     * @param ops        puts and deletes
     * @param maySplit   whether a region that has outgrown a value may be split: every controller knows the layout
     */
    public record Limits(int valueBytes, int ops, boolean maySplit) {}

    /** What a transaction may hold in all, and what is left of it for guards and the ends of jobs. */
    private static final int TXN_BYTES = 64 * 1024;

    private static final int ASIDE = 14 * 1024;
    /** The part of a transaction's changes that a fold may take when it has a choice. */
    private static final int FOLD_IN_OPS = 3;
    /** An attempt that is freed or stopped. */
    private static final int ATTEMPT = 28;
    /** The images of a machine, which a placement may change, and a part of a finished set, which a finish may. */
    private static final int MARGIN = 1024;

    private final StateReplica replica;
    private final Map<String, Object> puts = new LinkedHashMap<>();
    private final List<String> deletes = new ArrayList<>();
    private final boolean splitsFirst;
    private int left;

    /** A writer that never splits a region. */
    public LogWriter(StateReplica replica, int valueBytes) {
        this(replica, new Limits(valueBytes, Integer.MAX_VALUE, false));
    }

    public LogWriter(StateReplica replica, Limits limits) {
        this.replica = replica;
        int pageBytes = Math.min(limits.valueBytes(), TXN_BYTES / 4) * 15 / 16;
        BaseIndex.Region due = replica.foldDue();
        boolean mayFoldInParts = limits.maySplit() || replica.layout() >= Layouts.SPLIT_BASE;
        if (due != null && mayFoldInParts) {
            foldInParts(due, pageBytes, Math.max(2, limits.ops() / FOLD_IN_OPS));
        } else if (due != null) {
            foldWhole(due.bucket(), pageBytes);
        }
        this.splitsFirst = replica.layout() < Layouts.SPLIT_BASE
                && puts.keySet().stream()
                        .anyMatch(key -> !BaseIndex.bucketOf(key).isRoot());
        // A shard that has grown beyond the ordinary leaves less for the entry, or nothing at all this time.
        this.left = replica.logFull() ? 0 : Math.min(pageBytes, TXN_BYTES - ASIDE - puts.size() * pageBytes);
    }

    /** Layout 1: a shard is written anew with all of its pages at once. */
    private void foldWhole(Bucket root, int pageBytes) {
        List<WorkLog.Contents> pages = WorkLog.pages(replica.contents(root), pageBytes);
        for (int page = 0; page < pages.size(); page++) {
            puts.put(WorkLog.baseKey(root.shard(), page), WorkLog.pageValue(pages.get(page), pages.size()));
        }
        deletePages(root, pages.size());
    }

    /**
     * Layout 2: a region is written as buckets that each fit into a value. As many are written as a transaction may hold
     * beside an entry; what the others hold stays where it was, is the oldest then, and so comes next.
     */
    private void foldInParts(BaseIndex.Region due, int pageBytes, int opLimit) {
        Map<Bucket, WorkLog.Contents> buckets = new LinkedHashMap<>();
        split(due.bucket(), pageBytes, buckets);
        int pageLimit = Math.max(1, (TXN_BYTES - ASIDE) / pageBytes - 1);
        for (Map.Entry<Bucket, WorkLog.Contents> bucket : buckets.entrySet()) {
            if (puts.size() < Math.min(pageLimit, opLimit)) {
                puts.put(bucket.getKey().key(), WorkLog.pageValue(bucket.getValue(), 1));
            }
        }
        Bucket old = due.stored();
        boolean isWhole = puts.size() == buckets.size();
        if (old != null && isWhole && replica.base().regionsIn(old).size() <= 1) {
            deletePages(old, puts.containsKey(old.key()) ? 1 : 0);
        }
    }

    /** Adds the buckets, each of which fits into a page, that a bucket has to be written as. */
    private void split(Bucket bucket, int pageBytes, Map<Bucket, WorkLog.Contents> into) {
        WorkLog.Contents contents = replica.contents(bucket);
        boolean fits = WorkLog.pages(contents, pageBytes).size() == 1;
        if (fits || bucket.depth() >= Bucket.DEEPEST) {
            into.put(bucket, contents);
            return;
        }
        split(bucket.child(0), pageBytes, into);
        split(bucket.child(1), pageBytes, into);
    }

    /** Deletes the stored pages of a bucket from the given one on. */
    private void deletePages(Bucket bucket, int from) {
        for (int page = from; page < replica.base().pages(bucket); page++) {
            deletes.add(bucket.isRoot() ? WorkLog.baseKey(bucket.shard(), page) : bucket.key());
        }
    }

    /** Changes that it makes by itself. */
    public int ops() {
        return 1 + puts.size() + deletes.size();
    }

    public boolean folds() {
        return !puts.isEmpty();
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
        String last = replica.lastEntryKey();
        if (last != null) {
            txn.guard(last, replica.stamp(last));
        }
        String key = replica.nextEntryKey();
        txn.guard(key, replica.stamp(key));
        if (!machines.isEmpty() || splitsFirst) {
            txn.put(key, WorkLog.value(entry(machines, parts)));
        }
        puts.forEach(txn::put);
        deletes.forEach(txn::delete);
    }

    /**
     * The next entry. With the first split a number is left out: a controller that follows the log by layout 1 misses the
     * entry of that number, reads the store anew, and finds that it doesn't hold together by what it knows.
     */
    private WorkLog.Entry entry(Map<String, MachineRecord> machines, Map<String, BitSet> parts) {
        long before = replica.sequence();
        Map<String, Delta> changes = new LinkedHashMap<>();
        machines.forEach((id, m) -> changes.put(id, Delta.between(replica.machine(id), m)));
        return new WorkLog.Entry(splitsFirst ? before + 2 : before + 1, before, changes, parts);
    }
}

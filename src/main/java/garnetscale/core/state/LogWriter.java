package garnetscale.core.state;

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
     * @param layout     the layout that may be written
     * @param splitsAny  whether a shard has to be split in any case, so that controllers of the first layout stay out
     */
    public record Limits(int valueBytes, int ops, int layout, boolean splitsAny) {}

    /** What a transaction may hold in all, and what is left of it for guards and the ends of jobs. */
    private static final int TRANSACTION_BYTES = 64 * 1024;

    private static final int ASIDE = 14 * 1024;
    /** The part of a transaction's changes that a fold may take when it has a choice. */
    private static final int COMPACTIONS_IN_OPERATIONS = 3;
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
        this(replica, new Limits(valueBytes, Integer.MAX_VALUE, Layouts.FIRST, false));
    }

    public LogWriter(StateReplica replica, Limits limits) {
        this.replica = replica;
        int pageBytes = pageBytes(limits.valueBytes());
        int opLimit = Math.max(3, limits.ops() / COMPACTIONS_IN_OPERATIONS);
        SnapshotIndex.Region due = replica.log().compactionDue();
        boolean isSplit = replica.layout() >= Layouts.SPLIT_SNAPSHOT;
        if (limits.layout() < Layouts.SPLIT_SNAPSHOT && isSplit) {
            convert(due, pageBytes, opLimit);
        } else if (limits.layout() >= Layouts.SPLIT_SNAPSHOT
                && limits.splitsAny()
                && !isSplit
                && !replica.log().isFull()) {
            foldInParts(replica.log().snapshot().oldest(), pageBytes, opLimit, true);
        } else if (due != null
                && limits.layout() >= Layouts.SPLIT_SNAPSHOT
                && (isSplit || !replica.log().isFull())) {
            foldInParts(due, pageBytes, opLimit, false);
        } else if (due != null) {
            foldWhole(due.bucket(), pageBytes);
        }
        replica.log().keysToDelete().stream().limit(opLimit).forEach(deletes::add);
        this.splitsFirst = replica.layout() < Layouts.SPLIT_SNAPSHOT
                && puts.keySet().stream()
                        .anyMatch(key -> !SnapshotIndex.bucketOf(key).isRoot());
        // The first split needs an entry, and so a log that isn't full. A shard that has grown beyond the ordinary
        // leaves less for the entry, or nothing at all this time.
        this.left =
                replica.log().isFull() ? 0 : Math.min(pageBytes, TRANSACTION_BYTES - ASIDE - puts.size() * pageBytes);
    }

    /** What a page of a base may take, by the largest value that is allowed. */
    static int pageBytes(int valueBytes) {
        return Math.min(valueBytes, TRANSACTION_BYTES / 4) * 15 / 16;
    }

    /**
     * Back from layout 2 to layout 1: a shard is written as a root again where it and the removal of its buckets fit into a
     * transaction; else two halves are joined. A shard that isn't split is folded as ever. What is due to be folded goes first, and what can't be joined yet is folded as
     * it is, so that the ring doesn't run full meanwhile.
     */
    private void convert(SnapshotIndex.Region due, int pageBytes, int opLimit) {
        SnapshotIndex snapshot = replica.log().snapshot();
        int shard = due != null ? due.bucket().shard() : snapshot.firstSplitShard();
        Bucket root = Bucket.root(shard);
        List<WorkLog.Contents> pages = LogSizes.pages(replica.log().contents(root), pageBytes);
        List<Bucket> stored = snapshot.storedIn(shard);
        boolean isWhole = stored.stream().allMatch(Bucket::isRoot);
        if (isWhole || pages.size() <= pageLimit(pageBytes) && stored.size() <= opLimit) {
            foldWhole(root, pageBytes);
            stored.stream().filter(bucket -> !bucket.isRoot()).forEach(bucket -> deletePages(bucket, 0));
        } else if (!join(shard, pageBytes) && due != null) {
            foldInParts(due, pageBytes, opLimit, false);
        }
    }

    /** Writes two halves of a bucket as one where they fit into a page; false when there are none in the shard. */
    private boolean join(int shard, int pageBytes) {
        List<SnapshotIndex.Region> regions = replica.log().snapshot().regionsOf(shard);
        for (SnapshotIndex.Region region : regions) {
            Bucket bucket = region.bucket();
            if (bucket.isRoot() || !bucket.equals(region.stored())) {
                continue;
            }
            Bucket sibling = bucket.sibling();
            boolean isStored = regions.stream().anyMatch(r -> r.bucket().equals(sibling) && sibling.equals(r.stored()));
            WorkLog.Contents joined = replica.log().contents(bucket.parent());
            if (isStored && LogSizes.pages(joined, pageBytes).size() == 1) {
                puts.put(bucket.parent().key(), LogCodec.encodePage(joined, 1));
                deletePages(bucket, 0);
                deletePages(sibling, 0);
                return true;
            }
        }
        return false;
    }

    private static int pageLimit(int pageBytes) {
        return Math.max(1, (TRANSACTION_BYTES - ASIDE) / pageBytes - 1);
    }

    /** Layout 1: a shard is written anew with all of its pages at once. */
    private void foldWhole(Bucket root, int pageBytes) {
        List<WorkLog.Contents> pages = LogSizes.pages(replica.log().contents(root), pageBytes);
        for (int page = 0; page < pages.size(); page++) {
            puts.put(WorkLog.pageKey(root.shard(), page), LogCodec.encodePage(pages.get(page), pages.size()));
        }
        deletePages(root, pages.size());
    }

    /**
     * Layout 2: a region is written as buckets that each fit into a value. As many are written as a transaction may hold
     * beside an entry; what the others hold stays where it was, is the oldest then, and so comes next.
     */
    private void foldInParts(SnapshotIndex.Region due, int pageBytes, int opLimit, boolean splitsAny) {
        Map<Bucket, WorkLog.Contents> buckets = new LinkedHashMap<>();
        if (splitsAny) {
            split(due.bucket().child(0), pageBytes, buckets);
            split(due.bucket().child(1), pageBytes, buckets);
        } else {
            split(due.bucket(), pageBytes, buckets);
        }
        int pageLimit = pageLimit(pageBytes);
        for (Map.Entry<Bucket, WorkLog.Contents> bucket : buckets.entrySet()) {
            if (puts.size() < Math.min(pageLimit, opLimit)) {
                puts.put(bucket.getKey().key(), LogCodec.encodePage(bucket.getValue(), 1));
            }
        }
        Bucket old = due.stored();
        boolean isWhole = puts.size() == buckets.size();
        if (old != null && isWhole && replica.log().snapshot().regionsIn(old).size() <= 1) {
            deletePages(old, puts.containsKey(old.key()) ? 1 : 0);
        }
    }

    /** Adds the buckets, each of which fits into a page, that a bucket has to be written as. */
    private void split(Bucket bucket, int pageBytes, Map<Bucket, WorkLog.Contents> into) {
        WorkLog.Contents contents = replica.log().contents(bucket);
        boolean fits = LogSizes.pages(contents, pageBytes).size() == 1;
        if (fits || bucket.depth() >= Bucket.DEEPEST) {
            into.put(bucket, contents);
            return;
        }
        split(bucket.child(0), pageBytes, into);
        split(bucket.child(1), pageBytes, into);
    }

    /** Deletes the stored pages of a bucket from the given one on. */
    private void deletePages(Bucket bucket, int from) {
        for (int page = from; page < replica.log().snapshot().pages(bucket); page++) {
            deletes.add(bucket.isRoot() ? WorkLog.pageKey(bucket.shard(), page) : bucket.key());
        }
    }

    /** Changes that it makes by itself. */
    public int ops() {
        return 1 + puts.size() + deletes.size();
    }

    public boolean folds() {
        return !puts.isEmpty() || !deletes.isEmpty();
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
        return LogSizes.emptyMachine(machine, zone);
    }

    public static int sizeOfAttempt() {
        return ATTEMPT;
    }

    /** A placement; with a new image all images of the machine are written. */
    public static int sizeOfPlacement(JobSpec job, Set<String> images) {
        return LogSizes.placement(job.id())
                + (images.contains(job.image()) ? 0 : LogSizes.images(images) + LogSizes.image(job.image()));
    }

    public static int sizeOfPart(String part, int tasks) {
        return LogSizes.part(part, tasks);
    }

    /** Adds the entry, if it holds anything, and the fold, if one is due. */
    public void write(Transaction transaction, Map<String, MachineRecord> machines, Map<String, BitSet> parts) {
        String last = replica.log().lastEntryKey();
        if (last != null) {
            transaction.guard(last, replica.modRevision(last));
        }
        String key = replica.log().nextEntryKey();
        transaction.guard(key, replica.modRevision(key));
        if (!machines.isEmpty() || splitsFirst) {
            if (replica.log().isFull()) {
                throw new IllegalStateException("entry over one that the base doesn't hold, under " + key);
            }
            transaction.put(key, LogCodec.encodeEntry(entry(machines, parts)));
        }
        puts.forEach(transaction::put);
        deletes.forEach(transaction::delete);
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

package garnetscale.core.state;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The puts and deletes by which one transaction rewrites a region of the snapshot: because it is furthest behind, because
 * it has outgrown a value, or because the first layout is active again.
 */
final class Compaction {

    /** The share of a transaction's operations that a compaction may take when it has a choice. */
    private static final int MAX_SHARE_OF_OPS = 3;

    private static final int MIN_OPS = 3;

    private final LogReplica log;
    private final int pageBytes;
    private final int opLimit;
    private final Map<String, Object> puts = new LinkedHashMap<>();
    private final List<String> deletes = new ArrayList<>();
    private final boolean splitsFirst;

    /** Plans what is due. */
    Compaction(LogReplica log, LogWriter.Limits limits) {
        this.log = log;
        this.pageBytes = LogWriter.pageBytes(limits.valueBytes());
        this.opLimit = Math.max(MIN_OPS, limits.ops() / MAX_SHARE_OF_OPS);
        planRegion(limits);
        log.keysToDelete().stream().limit(opLimit).forEach(deletes::add);
        this.splitsFirst = log.layout() < Layouts.SPLIT_SNAPSHOT
                && puts.keySet().stream()
                        .anyMatch(key -> !SnapshotIndex.bucketOf(key).isRoot());
    }

    private void planRegion(LogWriter.Limits limits) {
        SnapshotIndex.Region due = log.compactionDue();
        boolean isSplit = log.layout() >= Layouts.SPLIT_SNAPSHOT;
        boolean maySplit = limits.layout() >= Layouts.SPLIT_SNAPSHOT;
        if (!maySplit && isSplit) {
            convert(due);
        } else if (maySplit && limits.forcesSplit() && !isSplit && !log.isFull()) {
            compactInParts(log.snapshot().oldest(), true);
        } else if (due != null && maySplit && (isSplit || !log.isFull())) {
            // The first split needs an entry, and so a log that isn't full.
            compactInParts(due, false);
        } else if (due != null) {
            compactWhole(due.bucket());
        }
    }

    /** Pages of the snapshot that are written, by key. */
    Map<String, Object> puts() {
        return puts;
    }

    /** Keys that are deleted. */
    List<String> deletes() {
        return deletes;
    }

    /** Whether this is the first split of a store in the first layout. */
    boolean splitsFirst() {
        return splitsFirst;
    }

    /**
     * Back from layout 2 to layout 1: a shard is written as a root again if it and the removal of its buckets fit into a
     * transaction; else two halves are joined. A shard that isn't split is compacted as usual. A region that is due for
     * compaction goes first, and one that can't be joined yet is compacted as it is, so that the ring buffer doesn't run full.
     */
    private void convert(SnapshotIndex.Region due) {
        SnapshotIndex snapshot = log.snapshot();
        int shard = due != null ? due.bucket().shard() : snapshot.firstSplitShard();
        Bucket root = Bucket.root(shard);
        List<WorkLog.Contents> pages = LogSizes.pages(log.contents(root), pageBytes);
        List<Bucket> stored = snapshot.storedIn(shard);
        boolean isWhole = stored.stream().allMatch(Bucket::isRoot);
        if (isWhole || pages.size() <= pageLimit() && stored.size() <= opLimit) {
            compactWhole(root);
            stored.stream().filter(bucket -> !bucket.isRoot()).forEach(bucket -> deletePages(bucket, 0));
        } else if (!join(shard) && due != null) {
            compactInParts(due, false);
        }
    }

    /** Writes two halves of a bucket as one if they fit into a page; false when there are none in the shard. */
    private boolean join(int shard) {
        List<SnapshotIndex.Region> regions = log.snapshot().regionsOf(shard);
        for (SnapshotIndex.Region region : regions) {
            Bucket bucket = region.bucket();
            if (bucket.isRoot() || !bucket.equals(region.stored())) {
                continue;
            }
            Bucket sibling = bucket.sibling();
            boolean isSiblingStored = regions.stream()
                    .anyMatch(other -> other.bucket().equals(sibling) && sibling.equals(other.stored()));
            WorkLog.Contents joined = log.contents(bucket.parent());
            if (isSiblingStored && LogSizes.pages(joined, pageBytes).size() == 1) {
                puts.put(bucket.parent().key(), LogCodec.encodePage(joined, 1));
                deletePages(bucket, 0);
                deletePages(sibling, 0);
                return true;
            }
        }
        return false;
    }

    /** How many pages fit into a transaction beside an entry. */
    private int pageLimit() {
        return Math.max(1, (LogWriter.TRANSACTION_BYTES - LogWriter.RESERVED_BYTES) / pageBytes - 1);
    }

    /** Layout 1: a shard is rewritten with all of its pages at once. */
    private void compactWhole(Bucket root) {
        List<WorkLog.Contents> pages = LogSizes.pages(log.contents(root), pageBytes);
        for (int page = 0; page < pages.size(); page++) {
            puts.put(WorkLog.pageKey(root.shard(), page), LogCodec.encodePage(pages.get(page), pages.size()));
        }
        deletePages(root, pages.size());
    }

    /**
     * Layout 2: a region is written as buckets that each fit into a value. As many are written as a transaction may hold
     * beside an entry; the others stay where they are stored, are the oldest then, and so come next.
     *
     * @param splits whether the region is split in any case
     */
    private void compactInParts(SnapshotIndex.Region due, boolean splits) {
        Map<Bucket, WorkLog.Contents> buckets = new LinkedHashMap<>();
        if (splits) {
            split(due.bucket().child(0), buckets);
            split(due.bucket().child(1), buckets);
        } else {
            split(due.bucket(), buckets);
        }
        int pageLimit = pageLimit();
        for (Map.Entry<Bucket, WorkLog.Contents> bucket : buckets.entrySet()) {
            if (puts.size() < Math.min(pageLimit, opLimit)) {
                puts.put(bucket.getKey().key(), LogCodec.encodePage(bucket.getValue(), 1));
            }
        }
        Bucket old = due.stored();
        boolean isWhole = puts.size() == buckets.size();
        if (old != null && isWhole && log.snapshot().regionsIn(old).size() <= 1) {
            deletePages(old, puts.containsKey(old.key()) ? 1 : 0);
        }
    }

    /** Adds the buckets, each of which fits into a page, that a bucket has to be written as. */
    private void split(Bucket bucket, Map<Bucket, WorkLog.Contents> into) {
        WorkLog.Contents contents = log.contents(bucket);
        boolean fits = LogSizes.pages(contents, pageBytes).size() == 1;
        if (fits || bucket.depth() >= Bucket.MAX_DEPTH) {
            into.put(bucket, contents);
            return;
        }
        split(bucket.child(0), into);
        split(bucket.child(1), into);
    }

    /** Deletes the stored pages of a bucket from the given one on. */
    private void deletePages(Bucket bucket, int from) {
        for (int page = from; page < log.snapshot().pages(bucket); page++) {
            deletes.add(bucket.isRoot() ? WorkLog.pageKey(bucket.shard(), page) : bucket.key());
        }
    }
}

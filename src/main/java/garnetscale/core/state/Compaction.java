package garnetscale.core.state;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The puts and deletes by which one transaction rewrites a region of the snapshot. A region is rewritten if it has the lowest
 * sequence number and its compaction is due, if a split is forced, or if the first layout is active again. In layout 2, a
 * region that no longer fits into one value is split when it is rewritten.
 */
final class Compaction {

    /**
     * A compaction that can be spread over several transactions may use at most the operation limit of one transaction divided
     * by this number.
     */
    private static final int OPS_DIVISOR = 3;
    /** Lower bound of the number of operations that such a compaction may use. */
    private static final int MIN_OPS = 3;

    private final LogReplica log;
    private final int pageBytes;
    private final int opLimit;
    private final Map<String, Object> puts = new LinkedHashMap<>();
    private final List<String> deletes = new ArrayList<>();
    private final boolean isFirstSplit;

    /** Plans the compaction that is due, if any. */
    Compaction(LogReplica log, LogWriter.Limits limits) {
        this.log = log;
        this.pageBytes = LogWriter.pageBytes(limits.valueBytes());
        this.opLimit = Math.max(MIN_OPS, limits.ops() / OPS_DIVISOR);
        planRegion(limits);
        log.keysToDelete().stream().limit(opLimit).forEach(deletes::add);
        this.isFirstSplit = log.layout() < Layouts.SPLIT_SNAPSHOT
                && puts.keySet().stream()
                        .anyMatch(key -> !SnapshotIndex.bucketOf(key).isRoot());
    }

    private void planRegion(LogWriter.Limits limits) {
        SnapshotIndex.Region due = log.compactionDue();
        boolean isSplit = log.layout() >= Layouts.SPLIT_SNAPSHOT;
        boolean maySplit = limits.layout() >= Layouts.SPLIT_SNAPSHOT;
        if (!maySplit && isSplit) {
            convertToFirstLayout(due);
        } else if (maySplit && limits.forcesSplit() && !isSplit && !log.isFull()) {
            compactIntoBuckets(log.snapshot().oldest(), true);
        } else if (due != null && maySplit && (isSplit || !log.isFull())) {
            // The first split writes an entry, so the log must not be full.
            compactIntoBuckets(due, false);
        } else if (due != null) {
            compactAsRoot(due.bucket());
        }
    }

    /** Returns the snapshot pages to write, by key. */
    Map<String, Object> puts() {
        return puts;
    }

    /** Returns the keys to delete. */
    List<String> deletes() {
        return deletes;
    }

    /** Returns whether this is the first split of a store that is in the first layout. */
    boolean isFirstSplit() {
        return isFirstSplit;
    }

    /**
     * Takes one step of the conversion from layout 2 back to layout 1. If all pages of the shard's root and the deletes of
     * its buckets fit into one transaction, the shard is written as a root; otherwise two sibling buckets are merged. A shard
     * that isn't split is compacted as usual. The shard of a region that is due for compaction is converted first. If nothing
     * in it can be merged yet, the region is compacted as it is, so that the ring buffer doesn't become full.
     *
     * @param due the region that is due for compaction, or null
     */
    private void convertToFirstLayout(SnapshotIndex.Region due) {
        SnapshotIndex snapshot = log.snapshot();
        int shard = due != null ? due.bucket().shard() : snapshot.firstSplitShard();
        Bucket root = Bucket.root(shard);
        List<WorkLog.Contents> pages = LogSizes.pages(log.contents(root), pageBytes);
        List<Bucket> stored = snapshot.storedIn(shard);
        boolean isUnsplit = stored.stream().allMatch(Bucket::isRoot);
        if (isUnsplit || pages.size() <= pageLimit() && stored.size() <= opLimit) {
            compactAsRoot(root);
            stored.stream().filter(bucket -> !bucket.isRoot()).forEach(bucket -> deletePages(bucket, 0));
        } else if (!mergeSiblings(shard) && due != null) {
            compactIntoBuckets(due, false);
        }
    }

    /** Merges two sibling buckets that fit into one page; returns false if the shard has no such pair. */
    private boolean mergeSiblings(int shard) {
        List<SnapshotIndex.Region> regions = log.snapshot().regionsOf(shard);
        for (SnapshotIndex.Region region : regions) {
            Bucket bucket = region.bucket();
            if (bucket.isRoot() || !bucket.equals(region.source())) {
                continue;
            }
            Bucket sibling = bucket.sibling();
            boolean isSiblingStored = regions.stream()
                    .anyMatch(other -> other.bucket().equals(sibling) && sibling.equals(other.source()));
            WorkLog.Contents merged = log.contents(bucket.parent());
            if (isSiblingStored && LogSizes.pages(merged, pageBytes).size() == 1) {
                puts.put(bucket.parent().key(), LogCodec.encodePage(merged, 1));
                deletePages(bucket, 0);
                deletePages(sibling, 0);
                return true;
            }
        }
        return false;
    }

    /** Returns the number of pages that fit into a transaction beside an entry. */
    private int pageLimit() {
        return Math.max(1, (LogWriter.TRANSACTION_BYTES - LogWriter.RESERVED_BYTES) / pageBytes - 1);
    }

    /** Rewrites a whole shard in layout 1, with all of its pages at once. */
    private void compactAsRoot(Bucket root) {
        List<WorkLog.Contents> pages = LogSizes.pages(log.contents(root), pageBytes);
        for (int page = 0; page < pages.size(); page++) {
            puts.put(WorkLog.pageKey(root.shard(), page), LogCodec.encodePage(pages.get(page), pages.size()));
        }
        deletePages(root, pages.size());
    }

    /**
     * Rewrites a region in layout 2, as buckets that each fit into one value. Writes as many buckets as fit into the
     * transaction beside an entry. The others stay in their present bucket, become the oldest regions, and are compacted
     * next.
     *
     * @param splits whether to split the region even if it fits into one bucket
     */
    private void compactIntoBuckets(SnapshotIndex.Region due, boolean splits) {
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
        // The old bucket stays stored until no region is read from it. If it is rewritten, its first page is kept.
        Bucket old = due.source();
        boolean isComplete = puts.size() == buckets.size();
        if (old != null && isComplete && log.snapshot().regionsReadFrom(old).size() <= 1) {
            deletePages(old, puts.containsKey(old.key()) ? 1 : 0);
        }
    }

    /** Splits a bucket until each part fits into a page or has the maximum depth, and adds the parts. */
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

    /** Deletes the stored pages of a bucket, starting with page {@code from}. */
    private void deletePages(Bucket bucket, int from) {
        for (int page = from; page < log.snapshot().pages(bucket); page++) {
            deletes.add(bucket.isRoot() ? WorkLog.pageKey(bucket.shard(), page) : bucket.key());
        }
    }
}

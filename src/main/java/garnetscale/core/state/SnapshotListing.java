package garnetscale.core.state;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;

/** The snapshot of the work log as read from a listing. Its pages may have been read at different revisions. */
final class SnapshotListing {

    private record Page(Bucket bucket, WorkLog.Contents contents) {}

    /** Page counts of a root in layout 1. All of its pages must contain the same entries, and none may be missing. */
    private static final class RootPages {
        /** The sequence number of the last entry in the first page listed. */
        private final long sequence;

        private int expected;
        private int found;

        RootPages(long sequence) {
            this.sequence = sequence;
        }
    }

    private final SnapshotIndex index = new SnapshotIndex();
    private final List<Page> pages = new ArrayList<>();
    private final Map<Bucket, RootPages> roots = new HashMap<>();
    private boolean hasMixedPages;

    /** Adds a page of the snapshot. */
    void add(String key, Object value) {
        WorkLog.Contents contents = LogCodec.decodePage(value);
        Bucket bucket = SnapshotIndex.bucketOf(key);
        pages.add(new Page(bucket, contents));
        index.put(key, contents.sequence());
        if (bucket.isRoot()) {
            RootPages root = roots.computeIfAbsent(bucket, absent -> new RootPages(contents.sequence()));
            hasMixedPages |= root.sequence != contents.sequence();
            root.expected = LogCodec.pageCountOf(value);
            root.found++;
        }
    }

    /** Returns the index of the listed buckets. */
    SnapshotIndex index() {
        return index;
    }

    /**
     * Returns whether the listing is inconsistent. This is so if pages of a root are missing or contain different entries, so
     * that a machine may have moved between them and be in neither, or if a bucket was split while it was read.
     */
    boolean isInconsistent() {
        return hasMixedPages
                || index.isIncomplete()
                || roots.values().stream().anyMatch(root -> root.expected != root.found);
    }

    /** Passes every listed machine and its record to {@code receiver}. */
    void forEachMachine(BiConsumer<String, MachineRecord> receiver) {
        for (Page page : pages) {
            page.contents().machines().forEach((id, machine) -> {
                if (isReadFrom(page, Bucket.hashOfMachine(id))) {
                    receiver.accept(id, machine);
                }
            });
        }
    }

    /** Passes the name and the contents of every listed part of a finished set to {@code receiver}. */
    void forEachPart(BiConsumer<String, BitSet> receiver) {
        for (Page page : pages) {
            page.contents().parts().forEach((part, finished) -> {
                if (isReadFrom(page, Bucket.hashOfPart(part))) {
                    receiver.accept(part, finished);
                }
            });
        }
    }

    /**
     * Returns whether the record with this hash is read from this page. If a bucket is partly split, the parts that are
     * stored separately are newer than the same parts in the larger bucket.
     */
    private boolean isReadFrom(Page page, int hash) {
        return page.bucket().equals(index.regionOf(hash).source());
    }
}

package garnetscale.core.state;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;

/** The snapshot of the work log as a listing brings it, page by page, each as of its own moment. */
final class SnapshotListing {

    private record Page(Bucket bucket, WorkLog.Contents contents) {}

    /** What the pages of a root in layout 1 say of themselves: all must contain the same entries, and none be missing. */
    private static final class RootPages {
        private final long number;
        private int expected;
        private int found;

        RootPages(long number) {
            this.number = number;
        }
    }

    private final SnapshotIndex index = new SnapshotIndex();
    private final List<Page> pages = new ArrayList<>();
    private final Map<Bucket, RootPages> roots = new HashMap<>();
    private boolean ofSeveralMoments;

    /** Adds a page of the snapshot. */
    void add(String key, Object value) {
        WorkLog.Contents contents = LogCodec.decodePage(value);
        Bucket bucket = SnapshotIndex.bucketOf(key);
        pages.add(new Page(bucket, contents));
        index.put(key, contents.number());
        if (bucket.isRoot()) {
            RootPages root = roots.computeIfAbsent(bucket, absent -> new RootPages(contents.number()));
            ofSeveralMoments |= root.number != contents.number();
            root.expected = LogCodec.pageCountOf(value);
            root.found++;
        }
    }

    /** Which buckets were listed. */
    SnapshotIndex index() {
        return index;
    }

    /**
     * Whether the listing is inconsistent: the pages of a root are of different moments, so that a machine may have moved
     * between them and be on neither, or a bucket was split while it was read.
     */
    boolean isInconsistent() {
        return ofSeveralMoments
                || index.isIncomplete()
                || roots.values().stream().anyMatch(root -> root.expected != root.found);
    }

    /** Gives every machine record that is listed, by machine. */
    void forEachMachine(BiConsumer<String, MachineRecord> receiver) {
        for (Page page : pages) {
            page.contents().machines().forEach((id, machine) -> {
                if (isReadFrom(page, Bucket.hashOfMachine(id))) {
                    receiver.accept(id, machine);
                }
            });
        }
    }

    /** Gives every part of a finished set that is listed, by its name. */
    void forEachPart(BiConsumer<String, BitSet> receiver) {
        for (Page page : pages) {
            page.contents().parts().forEach((part, finished) -> {
                if (isReadFrom(page, Bucket.hashOfPart(part))) {
                    receiver.accept(part, finished);
                }
            });
        }
    }

    /** Of a bucket that is partly split, the parts that are stored separately are newer there. */
    private boolean isReadFrom(Page page, int hash) {
        return page.bucket().equals(index.regionOf(hash).stored());
    }
}

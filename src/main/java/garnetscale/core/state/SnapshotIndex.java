package garnetscale.core.state;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * Index of the stored snapshot buckets, with the last entry that each contains. The parts of a split bucket may not all fit
 * into one transaction. Until all are written, the others are still read from the larger bucket. The index therefore divides
 * the snapshot into regions, each of which is stored in a bucket that equals or contains the region.
 */
final class SnapshotIndex {

    /**
     * A part of the snapshot that is compacted as a whole.
     *
     * @param bucket   the machines and finished sets in the region
     * @param source   the stored bucket that contains the region, or null if none of it is stored yet
     * @param sequence the sequence number of the last entry that the region contains, 0 if none of it is stored
     */
    record Region(Bucket bucket, Bucket source, long sequence) {}

    /**
     * A stored bucket.
     *
     * @param sequence the sequence number of the last entry that it contains
     * @param pages    its number of pages, more than 1 only for a root in layout 1
     */
    private record StoredBucket(long sequence, int pages) {}

    private final List<TreeMap<Bucket, StoredBucket>> stored = new ArrayList<>();
    private final List<List<Region>> regions = new ArrayList<>();
    private int regionCount = WorkLog.SHARDS;
    /** The cached result of {@link #oldest()}, null if regions have changed since. */
    private Region oldest;

    SnapshotIndex() {
        for (int shard = 0; shard < WorkLog.SHARDS; shard++) {
            stored.add(new TreeMap<>());
            regions.add(List.of(new Region(Bucket.root(shard), null, 0)));
        }
    }

    /** Returns a copy that isn't affected by later changes. */
    SnapshotIndex copy() {
        SnapshotIndex copy = new SnapshotIndex();
        for (int shard = 0; shard < stored.size(); shard++) {
            copy.stored.get(shard).putAll(stored.get(shard));
            copy.regions.set(shard, regions.get(shard));
        }
        copy.regionCount = regionCount;
        return copy;
    }

    /** Returns the bucket that a snapshot key belongs to. */
    static Bucket bucketOf(String key) {
        return Bucket.ofPage(shardOf(key), pageOf(key));
    }

    /** Adds a stored snapshot page that contains the entries up to {@code sequence}. */
    void put(String key, long sequence) {
        Bucket bucket = bucketOf(key);
        int pages = bucket.isRoot() ? pageOf(key) + 1 : 1;
        stored.get(bucket.shard())
                .merge(
                        bucket,
                        new StoredBucket(sequence, pages),
                        (old, added) -> new StoredBucket(
                                Math.max(old.sequence(), added.sequence()), Math.max(old.pages(), added.pages())));
        deriveRegions(bucket.shard());
    }

    /** Removes a deleted snapshot page. */
    void remove(String key) {
        Bucket bucket = bucketOf(key);
        TreeMap<Bucket, StoredBucket> shard = stored.get(bucket.shard());
        StoredBucket old = shard.get(bucket);
        // Deletes of a root's pages always extend to its last page, so that only the pages before this one are left.
        int left = bucket.isRoot() ? pageOf(key) : 0;
        if (old != null && left == 0) {
            shard.remove(bucket);
        } else if (old != null) {
            shard.put(bucket, new StoredBucket(old.sequence(), Math.min(old.pages(), left)));
        }
        deriveRegions(bucket.shard());
    }

    /** Returns the number of stored pages of a bucket, 0 if it isn't stored. */
    int pages(Bucket bucket) {
        StoredBucket here = stored.get(bucket.shard()).get(bucket);
        return here == null ? 0 : here.pages();
    }

    /** Returns whether any shard is split, which only layout 2 allows. */
    boolean isSplit() {
        for (TreeMap<Bucket, StoredBucket> shard : stored) {
            if (!shard.isEmpty() && !shard.lastKey().isRoot()) {
                return true;
            }
        }
        return false;
    }

    /** Returns the lowest-numbered shard that is split; there must be one. */
    int firstSplitShard() {
        for (int shard = 0; shard < stored.size(); shard++) {
            if (!stored.get(shard).isEmpty() && !stored.get(shard).lastKey().isRoot()) {
                return shard;
            }
        }
        throw new IllegalStateException("no shard is split");
    }

    /** Returns whether a shard is only partly stored, as in a listing whose pages were read at different revisions. */
    boolean isIncomplete() {
        for (int shard = 0; shard < stored.size(); shard++) {
            if (!stored.get(shard).isEmpty()
                    && regions.get(shard).stream().anyMatch(region -> region.source() == null)) {
                return true;
            }
        }
        return false;
    }

    /** Returns the stored buckets of a shard. */
    List<Bucket> storedIn(int shard) {
        return List.copyOf(stored.get(shard).keySet());
    }

    /** Returns the regions of a shard. */
    List<Region> regionsOf(int shard) {
        return regions.get(shard);
    }

    int regionCount() {
        return regionCount;
    }

    /** Returns the region with the lowest sequence number. The result is cached, since every {@link LogWriter} needs it. */
    Region oldest() {
        if (oldest == null) {
            oldest = findOldest();
        }
        return oldest;
    }

    private Region findOldest() {
        Region first = null;
        for (List<Region> shard : regions) {
            for (Region region : shard) {
                if (first == null || region.sequence() < first.sequence()) {
                    first = region;
                }
            }
        }
        return first;
    }

    /** Returns the sequence number of the last entry that any region contains, 0 if there is none. */
    long newest() {
        long newest = 0;
        for (List<Region> shard : regions) {
            for (Region region : shard) {
                newest = Math.max(newest, region.sequence());
            }
        }
        return newest;
    }

    /** Returns the region that contains a hash of a machine or of a part of a finished set. */
    Region regionOf(int hash) {
        for (Region region : regions.get(Bucket.shardOf(hash))) {
            if (region.bucket().contains(hash)) {
                return region;
            }
        }
        throw new IllegalStateException("no region for hash " + hash);
    }

    /** Returns the regions that are read from a stored bucket. */
    List<Region> regionsReadFrom(Bucket bucket) {
        return regions.get(bucket.shard()).stream()
                .filter(region -> bucket.equals(region.source()))
                .toList();
    }

    private void deriveRegions(int shard) {
        List<Region> list = new ArrayList<>();
        addRegions(Bucket.root(shard), null, 0, list);
        regionCount += list.size() - regions.get(shard).size();
        regions.set(shard, List.copyOf(list));
        oldest = null;
    }

    /**
     * Adds the regions of a bucket. The bucket is a single region unless a part of it is stored separately.
     *
     * @param from     the smallest stored bucket that contains this one, or null if none does
     * @param sequence the sequence number of the last entry in {@code from}, 0 if that is null
     */
    private void addRegions(Bucket bucket, Bucket from, long sequence, List<Region> into) {
        TreeMap<Bucket, StoredBucket> shard = stored.get(bucket.shard());
        StoredBucket here = shard.get(bucket);
        Bucket source = here == null ? from : bucket;
        long upTo = here == null ? sequence : here.sequence();
        if (!hasStoredDescendant(bucket, shard)) {
            into.add(new Region(bucket, source, upTo));
            return;
        }
        addRegions(bucket.child(0), source, upTo, into);
        addRegions(bucket.child(1), source, upTo, into);
    }

    private static boolean hasStoredDescendant(Bucket bucket, TreeMap<Bucket, StoredBucket> shard) {
        if (shard.isEmpty() || shard.lastKey().isRoot()) {
            return false;
        }
        for (Bucket other : shard.keySet()) {
            if (!other.equals(bucket) && bucket.contains(other)) {
                return true;
            }
        }
        return false;
    }

    private static int shardOf(String key) {
        return Integer.parseInt(key.substring(Keys.SNAPSHOT.length(), key.lastIndexOf('/')));
    }

    private static int pageOf(String key) {
        return Integer.parseInt(key.substring(key.lastIndexOf('/') + 1));
    }
}

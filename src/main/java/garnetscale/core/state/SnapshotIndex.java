package garnetscale.core.state;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * Which buckets of the snapshot are stored, and the last entry that each contains. A bucket may have been split and only some
 * of its parts written so far, since all of them need not fit into one transaction; the rest is still read from the larger
 * bucket. So the snapshot is seen as regions, each of which is stored in a bucket that is the region itself or contains it.
 */
final class SnapshotIndex {

    /**
     * A part of the snapshot that is compacted as a whole.
     *
     * @param stored the bucket that holds it, or null when nothing of it is stored yet
     * @param number the last entry of the work log that it contains, 0 when nothing is stored
     */
    record Region(Bucket bucket, Bucket stored, long number) {}

    /**
     * A stored bucket.
     *
     * @param number the last entry that it contains
     * @param pages  how many pages it has, more than one only for a root in layout 1
     */
    private record StoredBucket(long number, int pages) {}

    private final List<TreeMap<Bucket, StoredBucket>> stored = new ArrayList<>();
    private final List<List<Region>> regions = new ArrayList<>();
    private int regionCount = WorkLog.SHARDS;
    private Region oldest;

    SnapshotIndex() {
        for (int shard = 0; shard < WorkLog.SHARDS; shard++) {
            stored.add(new TreeMap<>());
            regions.add(List.of(new Region(Bucket.root(shard), null, 0)));
        }
    }

    /** A copy that later changes leave as it is. */
    SnapshotIndex copy() {
        SnapshotIndex copy = new SnapshotIndex();
        for (int shard = 0; shard < stored.size(); shard++) {
            copy.stored.get(shard).putAll(stored.get(shard));
            copy.regions.set(shard, regions.get(shard));
        }
        copy.regionCount = regionCount;
        return copy;
    }

    /** The bucket that a key of the snapshot belongs to. */
    static Bucket bucketOf(String key) {
        return Bucket.ofPage(shardOf(key), pageOf(key));
    }

    /** A page of the snapshot was stored. */
    void put(String key, long number) {
        Bucket bucket = bucketOf(key);
        int pages = bucket.isRoot() ? pageOf(key) + 1 : 1;
        stored.get(bucket.shard())
                .merge(
                        bucket,
                        new StoredBucket(number, pages),
                        (old, added) -> new StoredBucket(
                                Math.max(old.number(), added.number()), Math.max(old.pages(), added.pages())));
        deriveRegions(bucket.shard());
    }

    /** A page of the snapshot was deleted. */
    void remove(String key) {
        Bucket bucket = bucketOf(key);
        TreeMap<Bucket, StoredBucket> shard = stored.get(bucket.shard());
        StoredBucket old = shard.get(bucket);
        int left = bucket.isRoot() ? pageOf(key) : 0;
        if (old != null && left == 0) {
            shard.remove(bucket);
        } else if (old != null) {
            shard.put(bucket, new StoredBucket(old.number(), Math.min(old.pages(), left)));
        }
        deriveRegions(bucket.shard());
    }

    /** How many pages the stored bucket has. */
    int pages(Bucket bucket) {
        StoredBucket here = stored.get(bucket.shard()).get(bucket);
        return here == null ? 0 : here.pages();
    }

    /** Whether some shard is split, as only layout 2 allows. */
    boolean isSplit() {
        for (TreeMap<Bucket, StoredBucket> shard : stored) {
            if (!shard.isEmpty() && !shard.lastKey().isRoot()) {
                return true;
            }
        }
        return false;
    }

    /** The first shard that is split; there must be one. */
    int firstSplitShard() {
        for (int shard = 0; shard < stored.size(); shard++) {
            if (!stored.get(shard).isEmpty() && !stored.get(shard).lastKey().isRoot()) {
                return shard;
            }
        }
        throw new IllegalStateException("no shard is split");
    }

    /** Whether a shard is stored in part only, as in a listing whose pages are of different moments. */
    boolean isIncomplete() {
        for (int shard = 0; shard < stored.size(); shard++) {
            if (!stored.get(shard).isEmpty()
                    && regions.get(shard).stream().anyMatch(region -> region.stored() == null)) {
                return true;
            }
        }
        return false;
    }

    /** The buckets of a shard that are stored. */
    List<Bucket> storedIn(int shard) {
        return List.copyOf(stored.get(shard).keySet());
    }

    /** The regions of a shard. */
    List<Region> regionsOf(int shard) {
        return regions.get(shard);
    }

    int regionCount() {
        return regionCount;
    }

    /** The region that is furthest behind; kept until something changes, since every transaction's draft asks for it. */
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
                if (first == null || region.number() < first.number()) {
                    first = region;
                }
            }
        }
        return first;
    }

    /** The last entry that any region contains. */
    long newest() {
        long newest = 0;
        for (List<Region> shard : regions) {
            for (Region region : shard) {
                newest = Math.max(newest, region.number());
            }
        }
        return newest;
    }

    /** The region of a machine or a part of a finished set, by its hash. */
    Region regionOf(int hash) {
        for (Region region : regions.get(Bucket.shardOf(hash))) {
            if (region.bucket().contains(hash)) {
                return region;
            }
        }
        throw new IllegalStateException("no region for hash " + hash);
    }

    /** The regions that are read from a stored bucket. */
    List<Region> regionsIn(Bucket bucket) {
        return regions.get(bucket.shard()).stream()
                .filter(region -> bucket.equals(region.stored()))
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
     * Adds the regions of a bucket: it is one itself unless a part of it is stored separately.
     *
     * @param from   the nearest larger bucket that is stored, or null
     * @param number the last entry which that one contains
     */
    private void addRegions(Bucket bucket, Bucket from, long number, List<Region> into) {
        TreeMap<Bucket, StoredBucket> shard = stored.get(bucket.shard());
        StoredBucket here = shard.get(bucket);
        Bucket source = here == null ? from : bucket;
        long upTo = here == null ? number : here.number();
        if (!hasStoredWithin(bucket, shard)) {
            into.add(new Region(bucket, source, upTo));
            return;
        }
        addRegions(bucket.child(0), source, upTo, into);
        addRegions(bucket.child(1), source, upTo, into);
    }

    private static boolean hasStoredWithin(Bucket bucket, TreeMap<Bucket, StoredBucket> shard) {
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

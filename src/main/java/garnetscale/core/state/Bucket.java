package garnetscale.core.state;

import garnetscale.core.cluster.PartitionMap;

/**
 * A part of the snapshot, by the hash of the machines and finished sets in it. The root of a shard holds all of the shard; a
 * bucket that has outgrown one value is split into two by the next bit of the hash, as in extendible hashing.
 *
 * @param shard one of {@link WorkLog#SHARDS}
 * @param depth how many times the shard was split to arrive at it
 * @param index the lowest {@code depth} bits that its hashes share
 */
record Bucket(int shard, int depth, int index) implements Comparable<Bucket> {

    /** Rows that still share this many bits of their hashes stay together: a bucket with a single row can't be split at all. */
    static final int MAX_DEPTH = 20;
    /**
     * Pages below this belong to a root that was stored in several pages, as layout 1 does. A controller that knows layout
     * 1 alone counts pages and finds more than a shard says it has; so it finds its listing inconsistent and never decides
     * anything.
     */
    private static final int FIRST_SPLIT_PAGE = 1 << 10;

    /** All of a shard. */
    static Bucket root(int shard) {
        return new Bucket(shard, 0, 0);
    }

    /** The bucket that a page of a shard holds; any page of layout 1 belongs to the root. */
    static Bucket ofPage(int shard, int page) {
        if (page < FIRST_SPLIT_PAGE) {
            return root(shard);
        }
        int position = page - FIRST_SPLIT_PAGE;
        int depth = 31 - Integer.numberOfLeadingZeros(position);
        return new Bucket(shard, depth, position - (1 << depth));
    }

    static int hashOfMachine(String machine) {
        return PartitionMap.number(machine);
    }

    static int hashOfPart(String part) {
        return part.hashCode() * 31 + part.length();
    }

    static int shardOf(int hash) {
        return Math.floorMod(hash, WorkLog.SHARDS);
    }

    boolean isRoot() {
        return depth == 0;
    }

    /** The half whose next bit is as given. */
    Bucket child(int bit) {
        return new Bucket(shard, depth + 1, index | bit << depth);
    }

    /** The bucket that this one is a half of; not of a root. */
    Bucket parent() {
        return new Bucket(shard, depth - 1, index & (1 << depth - 1) - 1);
    }

    /** The other half of the parent; not of a root. */
    Bucket sibling() {
        return new Bucket(shard, depth, index ^ 1 << depth - 1);
    }

    boolean contains(int hash) {
        return shardOf(hash) == shard && contains(Math.floorDiv(hash, WorkLog.SHARDS), depth, index);
    }

    /** Whether all of the other bucket lies in this one. */
    boolean contains(Bucket other) {
        return other.shard == shard && other.depth >= depth && contains(other.index, depth, index);
    }

    private static boolean contains(int bits, int depth, int index) {
        return (bits & (1 << depth) - 1) == index;
    }

    /** The number of the page that holds it, or of the first one: a root in layout 1 may have several. */
    int page() {
        return isRoot() ? 0 : FIRST_SPLIT_PAGE + (1 << depth) + index;
    }

    /** The key of {@link #page}. */
    String key() {
        return WorkLog.pageKey(shard, page());
    }

    /** By shard, then by page: a root is first, a bucket comes before the halves of it. */
    @Override
    public int compareTo(Bucket other) {
        if (shard != other.shard) {
            return Integer.compare(shard, other.shard);
        }
        return Integer.compare(page(), other.page());
    }

    /** Explicit because it is on the hot path: see {@link garnetscale.core}. */
    @Override
    public boolean equals(Object object) {
        return object instanceof Bucket other && shard == other.shard && depth == other.depth && index == other.index;
    }

    @Override
    public int hashCode() {
        return (shard * 31 + depth) * 31 + index;
    }
}

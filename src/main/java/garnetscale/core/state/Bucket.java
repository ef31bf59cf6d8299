package garnetscale.core.state;

import garnetscale.core.partition.PartitionMap;

/**
 * A part of the base of the work log, by the hash of what is in it. The root of a shard holds all of the shard; a bucket
 * that has outgrown one value is split into two by the next bit of the hash, as in extendible hashing.
 *
 * @param depth how many times the shard was split to arrive at it
 * @param index the lowest {@code depth} bits that its hashes share
 */
record Bucket(int shard, int depth, int index) implements Comparable<Bucket> {

    /** Rows that still share this many bits are left together: what is alone in a bucket can't be split at all. */
    static final int DEEPEST = 20;
    /**
     * Pages below this belong to a root that was stored in several pages, as layout 1 does. A controller that knows layout
     * 1 alone counts pages and finds more than a base says it has; so it calls its listing torn and never decides anything.
     */
    private static final int FIRST_PAGE = 1 << 10;

    static Bucket root(int shard) {
        return new Bucket(shard, 0, 0);
    }

    /** The bucket that a page of a shard holds; any page of layout 1 belongs to the root. */
    static Bucket ofPage(int shard, int page) {
        if (page < FIRST_PAGE) {
            return root(shard);
        }
        int position = page - FIRST_PAGE;
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

    /** The page that holds it: several for a root in layout 1, else one. */
    int page() {
        return isRoot() ? 0 : FIRST_PAGE + (1 << depth) + index;
    }

    String key() {
        return WorkLog.pageKey(shard, page());
    }

    @Override
    public int compareTo(Bucket other) {
        if (shard != other.shard) {
            return Integer.compare(shard, other.shard);
        }
        return Integer.compare(page(), other.page());
    }

    /** Explicit because it is on the hot path; see the package documentation of {@code garnetscale.core}. */
    @Override
    public boolean equals(Object o) {
        return o instanceof Bucket other && shard == other.shard && depth == other.depth && index == other.index;
    }

    @Override
    public int hashCode() {
        return (shard * 31 + depth) * 31 + index;
    }
}

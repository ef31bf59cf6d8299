package garnetscale.core.state;

import garnetscale.core.cluster.PartitionMap;

/**
 * A part of the snapshot, by the hash of the machines and finished sets in it. The root of a shard contains the whole shard. A
 * bucket that no longer fits into one value is split into two by the next bit of the hash, as in extendible hashing.
 *
 * @param shard the shard number, from 0 to {@link WorkLog#SHARDS} - 1
 * @param depth the number of splits between the root and this bucket, 0 for the root
 * @param index the lowest {@code depth} bits of {@code hash / SHARDS}, rounded down; the same for every hash in the bucket
 */
record Bucket(int shard, int depth, int index) implements Comparable<Bucket> {

    /**
     * Maximum depth. Records whose hashes share this many bits stay together: like a bucket with one record, a bucket of this
     * depth isn't split. Without this limit, records with equal hashes would be split without end.
     */
    static final int MAX_DEPTH = 20;
    /**
     * The lowest page number of a bucket below a root. Lower numbers are pages of a root, which layout 1 may store in several
     * pages. A controller that supports only layout 1 counts the pages of a shard and finds more than the page count
     * stored in each of them. It therefore treats its listing as inconsistent and never makes decisions.
     */
    private static final int FIRST_SPLIT_PAGE = 1 << 10;

    /** Returns the bucket that contains a whole shard. */
    static Bucket root(int shard) {
        return new Bucket(shard, 0, 0);
    }

    /** Returns the bucket that a page of a shard belongs to; every page of layout 1 belongs to the root. */
    static Bucket ofPage(int shard, int page) {
        if (page < FIRST_SPLIT_PAGE) {
            return root(shard);
        }
        int position = page - FIRST_SPLIT_PAGE;
        int depth = 31 - Integer.numberOfLeadingZeros(position);
        return new Bucket(shard, depth, position - (1 << depth));
    }

    static int hashOfMachine(String machine) {
        return PartitionMap.machineNumber(machine);
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

    /** Returns the half of this bucket whose next hash bit is {@code bit}. */
    Bucket child(int bit) {
        return new Bucket(shard, depth + 1, index | bit << depth);
    }

    /** Returns the bucket that this one is a half of; must not be called on a root. */
    Bucket parent() {
        return new Bucket(shard, depth - 1, index & (1 << depth - 1) - 1);
    }

    /** Returns the other half of the parent; must not be called on a root. */
    Bucket sibling() {
        return new Bucket(shard, depth, index ^ 1 << depth - 1);
    }

    boolean contains(int hash) {
        return shardOf(hash) == shard && contains(Math.floorDiv(hash, WorkLog.SHARDS), depth, index);
    }

    /** Returns whether this bucket contains all of the other bucket. */
    boolean contains(Bucket other) {
        return other.shard == shard && other.depth >= depth && contains(other.index, depth, index);
    }

    private static boolean contains(int bits, int depth, int index) {
        return (bits & (1 << depth) - 1) == index;
    }

    /** Returns the page number of this bucket, or of its first page if it is a root, which may have several in layout 1. */
    int page() {
        return isRoot() ? 0 : FIRST_SPLIT_PAGE + (1 << depth) + index;
    }

    /** Returns the key of the snapshot page with the number {@link #page}. */
    String key() {
        return WorkLog.pageKey(shard, page());
    }

    /** Compares by shard, then by page: a root comes first, and every bucket comes before its halves. */
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

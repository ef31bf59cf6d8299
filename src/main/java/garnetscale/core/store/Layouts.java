package garnetscale.core.store;

/** Versions of how the work log is stored. A controller publishes the latest one that it knows. */
public final class Layouts {

    /** A fixed number of shards and of entries; a controller whose record names no layout knows this one alone. */
    public static final int FIRST = 1;
    /** Shards may be split into buckets, and the ring of entries grows with them. */
    public static final int SPLIT_BASE = 2;
    /** The latest that this program reads and writes. */
    public static final int LATEST = SPLIT_BASE;

    private Layouts() {}
}

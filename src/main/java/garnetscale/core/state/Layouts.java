package garnetscale.core.state;

import garnetscale.core.upgrade.VersionRange;

/** Versions of how the work log is stored. A controller publishes those that it supports. */
public final class Layouts {

    /** A fixed number of shards and of entries; a controller whose record names no layout knows this one alone. */
    public static final int FIRST = VersionRange.FIRST_VERSION;
    /** Shards may be split into buckets, and the ring of entries grows with them. */
    public static final int SPLIT_SNAPSHOT = 2;
    /** What this program reads and writes. */
    public static final VersionRange SUPPORTED = new VersionRange(FIRST, SPLIT_SNAPSHOT);

    private Layouts() {}
}

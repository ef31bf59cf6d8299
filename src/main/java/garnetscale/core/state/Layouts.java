package garnetscale.core.state;

import garnetscale.core.upgrade.VersionRange;

/** The layouts in which the work log is stored, which are versions of the stored state. A controller publishes its own. */
public final class Layouts {

    /** Fixed numbers of shards and entries; a controller whose record names no layout knows this one alone. */
    public static final int FIRST = VersionRange.FIRST_VERSION;
    /** Shards may be split into buckets, and the ring buffer of entries grows with them. */
    public static final int SPLIT_SNAPSHOT = 2;
    /** What this program reads and writes. */
    public static final VersionRange SUPPORTED = new VersionRange(FIRST, SPLIT_SNAPSHOT);

    private Layouts() {}
}

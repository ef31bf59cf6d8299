package garnetscale.core.state;

import garnetscale.core.upgrade.VersionRange;

/** Layout versions of the stored work log. Each controller publishes the range that it supports. */
public final class Layouts {

    /** Fixed numbers of shards and entries. The only layout supported by controllers that publish no range. */
    public static final int FIRST = VersionRange.FIRST_VERSION;
    /** Shards may be split into buckets, and the capacity of the ring buffer grows with their number. */
    public static final int SPLIT_SNAPSHOT = 2;
    /** The layouts that this program reads and writes. */
    public static final VersionRange SUPPORTED = new VersionRange(FIRST, SPLIT_SNAPSHOT);

    private Layouts() {}
}

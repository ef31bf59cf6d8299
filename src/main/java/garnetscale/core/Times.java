package garnetscale.core;

/** Constants for points in time, all in milliseconds of a steady clock. */
public final class Times {

    /** A time in the distant past: any timeout since then has expired, and differences to it don't overflow. */
    public static final long NEVER = Long.MIN_VALUE / 2;

    private Times() {}
}

package garnetscale.core;

/** Constants for times, all in milliseconds of a steady clock. */
public final class Times {

    /** A time in the distant past: any timeout since then has expired, and differences to it don't overflow. */
    public static final long NEVER = Long.MIN_VALUE / 2;

    /**
     * The longest time for which a rule may keep a waiting job without placed tasks from a machine with room. Operators allow 90 s
     * (hunt's LATER.md), in which a new leader may have to begin anew, and the task has to be awarded and started.
     */
    public static final long MAX_HOLD_BACK_MS = 40_000;

    private Times() {}
}

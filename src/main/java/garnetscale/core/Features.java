package garnetscale.core;

/**
 * What operators switch on. All is off where nothing is said.
 *
 * @param growingLog       whether the base of the work log may be split when it outgrows its shards
 * @param sharedSocketsFrom the share of sockets in use from which workers give theirs back after each answer;
 *     {@link #NEVER} to let them keep theirs
 */
public record Features(boolean growingLog, double sharedSocketsFrom) {

    /** No share of sockets is as large as this. */
    public static final double NEVER = Double.POSITIVE_INFINITY;

    /** Everything off. */
    public static final Features NONE = new Features(false, NEVER);
}

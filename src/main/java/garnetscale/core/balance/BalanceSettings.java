package garnetscale.core.balance;

/**
 * What operators set of load balancing, in the table {@code balance} of the features file.
 *
 * @param enabled whether equal bids are ordered by load and running tasks are moved
 * @param margin  by what part of the disruption a move's gain has to exceed it
 * @param moving  the part of the placed tasks that may be stopping at a time, whatever they are stopped for
 */
public record BalanceSettings(boolean enabled, double margin, double moving) {

    /** The margin where nothing is said. */
    public static final double MARGIN = 0.5;

    /** The part that may be stopping where nothing is said. */
    public static final double MOVING = 0.02;

    /** Switched off. */
    public static final BalanceSettings OFF = new BalanceSettings(false, MARGIN, MOVING);
}

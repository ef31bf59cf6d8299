package garnetscale.core.balance;

/**
 * The operators' settings of load balancing, from the table {@code balance} of the features file.
 *
 * @param enabled whether equal bids are ordered by load and running tasks are moved
 * @param margin share of a move's disruption by which the move's gain must exceed the disruption
 * @param moving share of the placed tasks that may be stopping at a time, for any reason
 */
public record BalanceSettings(boolean enabled, double margin, double moving) {

    /** The default of {@link #margin}. */
    public static final double MARGIN = 0.5;

    /** The default of {@link #moving}. */
    public static final double MOVING = 0.02;

    /** Load balancing is off. */
    public static final BalanceSettings OFF = new BalanceSettings(false, MARGIN, MOVING);
}

package garnetscale.core;

import garnetscale.core.balance.BalanceSettings;
import garnetscale.core.state.Layouts;
import garnetscale.core.upgrade.VersionRange;

/**
 * Features that operators can switch on; all are off by default. docs/operations.md describes the file that they are read from.
 *
 * @param automaticActivation whether the leader activates the next layout version by itself, once more is stored than the
 *     active one can hold
 * @param activationDelayLeases            how long every live controller must have been up before a version is activated, in worker leases
 * @param layouts           the layout versions that this controller supports
 * @param closeConnectionsFrom the share of connections in use, from 0 to 1, from which workers close theirs after each answer;
 *     {@link #NEVER} to keep them open
 * @param balance           load balancing
 */
public record Features(
        boolean automaticActivation,
        double activationDelayLeases,
        VersionRange layouts,
        double closeConnectionsFrom,
        BalanceSettings balance) {

    /** No share of connections is as large as this. */
    public static final double NEVER = Double.POSITIVE_INFINITY;

    /** The default of {@link #activationDelayLeases}. */
    public static final double DEFAULT_ACTIVATION_DELAY_LEASES = 2;

    /** Everything off. */
    public static final Features NONE =
            new Features(false, DEFAULT_ACTIVATION_DELAY_LEASES, Layouts.SUPPORTED, NEVER, BalanceSettings.OFF);
}

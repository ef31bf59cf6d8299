package garnetscale.core;

import garnetscale.core.balance.BalanceSettings;
import garnetscale.core.state.Layouts;
import garnetscale.core.upgrade.VersionRange;

/**
 * Features that operators can switch on. All are off by default. docs/operations.md describes the features file.
 *
 * @param automaticActivation whether the leader activates the next layout version without an operator's command, once the stored
 *     state has outgrown the active version or soon will
 * @param activationDelayLeases how long every live controller must have been up before a layout version is activated, in worker
 *     leases
 * @param layouts the layout versions that this controller supports
 * @param closeConnectionsFrom the share of connections in use, from 0 to 1, at which workers start to close their connections
 *     after each answer; {@link #NEVER} to keep them open
 * @param balance the settings of load balancing
 */
public record Features(
        boolean automaticActivation,
        double activationDelayLeases,
        VersionRange layouts,
        double closeConnectionsFrom,
        BalanceSettings balance) {

    /** A value of {@link #closeConnectionsFrom} that no share of connections reaches. */
    public static final double NEVER = Double.POSITIVE_INFINITY;

    /** The default of {@link #activationDelayLeases}. */
    public static final double DEFAULT_ACTIVATION_DELAY_LEASES = 2;

    /** All features off. */
    public static final Features NONE =
            new Features(false, DEFAULT_ACTIVATION_DELAY_LEASES, Layouts.SUPPORTED, NEVER, BalanceSettings.OFF);
}

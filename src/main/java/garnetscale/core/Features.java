package garnetscale.core;

import garnetscale.core.balance.BalanceSettings;
import garnetscale.core.state.Layouts;
import garnetscale.core.upgrade.VersionRange;

/**
 * What operators switch on. All is off where nothing is said.
 *
 * @param activatesWhenNeeded whether the leader activates the next version of what is stored by itself, once the present one is
 *     about to be too small
 * @param settle            how long every live controller must have been there before a version is activated, in worker leases
 * @param layouts           the versions of what is stored that this controller takes part in
 * @param sharedSocketsFrom the share of sockets in use from which workers give theirs back after each answer;
 *     {@link #NEVER} to let them keep theirs
 * @param balance           load balancing
 */
public record Features(
        boolean activatesWhenNeeded,
        double settle,
        VersionRange layouts,
        double sharedSocketsFrom,
        BalanceSettings balance) {

    /** No share of sockets is as large as this. */
    public static final double NEVER = Double.POSITIVE_INFINITY;

    /** Worker leases that a controller must have been there for, where nothing is said. */
    public static final double SETTLE = 2;

    /** Everything off. */
    public static final Features NONE = new Features(false, SETTLE, Layouts.SUPPORTED, NEVER, BalanceSettings.OFF);
}

/**
 * Lets controllers of different versions share one state. What is stored has a layout version; each controller supports a
 * range of them and publishes it; one version is active for the whole cluster, which the leader alone changes. The code is
 * pure: it decides from the replica and the time, and hands out transactions.
 */
package garnetscale.core.upgrade;

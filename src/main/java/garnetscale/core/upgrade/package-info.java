/**
 * Rolling upgrades: lets controllers of different versions share one state service. The stored state has a layout version.
 * Each controller publishes the range of versions that it supports, and one version is active for the whole cluster.
 *
 * <p>Only the leader changes the active version, through {@link garnetscale.core.upgrade.UpgradeCoordinator}, which records when
 * it first observed each live controller. This package makes decisions from the replica and the time and returns transactions;
 * it neither commits them nor converts records.
 */
package garnetscale.core.upgrade;

/**
 * Rolling upgrades: lets controllers of different versions share one key-value store. What is stored has a layout version; each
 * controller publishes the range of versions that it supports; one version is active for the whole cluster.
 *
 * <p>Only the leader changes it, through {@link garnetscale.core.upgrade.UpgradeCoordinator}, which owns when it first saw each
 * live controller. This package decides from the replica and the time and returns transactions; it neither commits them nor
 * converts records.
 */
package garnetscale.core.upgrade;

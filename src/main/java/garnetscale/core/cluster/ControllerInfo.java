package garnetscale.core.cluster;

import garnetscale.core.upgrade.VersionRange;

/**
 * A live controller process; its key in the state service lives as long as its state lease.
 *
 * @param name the controller's name in the configuration
 * @param incarnation its state lease, which is another one after a restart
 * @param zone its zone
 * @param layouts the versions of the stored layout that it reads and writes
 */
public record ControllerInfo(String name, long incarnation, String zone, VersionRange layouts) {}

package garnetscale.core.cluster;

import garnetscale.core.upgrade.VersionRange;

/**
 * A live controller process. Its key in the state service is deleted when its session lease expires.
 *
 * @param name the controller's name in the configuration
 * @param incarnation the id of its session lease, which changes with every restart
 * @param zone its zone
 * @param layouts the layout versions that it reads and writes
 */
public record ControllerInfo(String name, long incarnation, String zone, VersionRange layouts) {}

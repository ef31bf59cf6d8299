package garnetscale.core.partition;

import garnetscale.core.upgrade.VersionRange;

/**
 * A live controller process; its key in the state service lives as long as its state lease.
 *
 * @param layouts the versions of what is stored that it reads and writes
 */
public record ControllerInfo(String name, long incarnation, String zone, VersionRange layouts) {}

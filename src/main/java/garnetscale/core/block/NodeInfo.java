package garnetscale.core.block;

/**
 * A live controller process; its key in the state service lives as long as its state lease.
 *
 * @param layout the latest version of the stored work log that it knows
 */
public record NodeInfo(String name, long incarnation, String zone, int layout) {}

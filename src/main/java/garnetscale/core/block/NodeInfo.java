package garnetscale.core.block;

/** A live controller process; its key in the state service lives as long as its state lease. */
public record NodeInfo(String name, long incarnation, String zone) {}

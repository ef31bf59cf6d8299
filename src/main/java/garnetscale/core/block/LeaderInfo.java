package garnetscale.core.block;

/** The leader by the state service. {@code term} comes from the stored counter and only rises. */
public record LeaderInfo(String node, long incarnation, long term) {
}

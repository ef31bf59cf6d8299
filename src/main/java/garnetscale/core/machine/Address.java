package garnetscale.core.machine;

/** Where a machine can be spoken to, and what decides its block; the leader tells holders what the cloud lists. */
public record Address(String machine, String address, String zone) {
}

/**
 * The owner of a controller's partitions. It alone commands the machines in them: it takes their heartbeats, brings them to
 * what the stored placements say, proves which attempts have terminated, publishes machine status to the leader and bids for
 * the machines (DESIGN; paper, DSP steps 2, 3, 5 and 6).
 *
 * <p>{@link garnetscale.core.partition.PartitionOwner} coordinates the modules and owns the map of machines that they share;
 * apart from that each module owns its state. Everything runs on the caller's thread, one message at a time.
 *
 * <p>The package reads the replica and doesn't write to it: what has to be stored is the leader's to store. It sends nothing
 * by itself either but returns {@link garnetscale.core.partition.OwnerEffect effects}.
 */
package garnetscale.core.partition;

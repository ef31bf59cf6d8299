/**
 * The owner of a controller's partitions, the only component that commands the machines in them. It handles their heartbeats,
 * reconciles them with the stored placements, proves which attempts have terminated, publishes machine status to the leader
 * and submits the machines' bids (DESIGN; paper, DSP steps 2, 3, 5 and 6).
 *
 * <p>{@link garnetscale.core.partition.PartitionOwner} coordinates the modules and owns the map of machines that they share.
 * Each module owns the rest of its state. Everything runs on the caller's thread, one message at a time.
 *
 * <p>The package reads the replica and doesn't write to it; only the leader stores placements and job state. It sends no
 * messages itself, but returns them as {@link garnetscale.core.partition.OwnerEffect effects}.
 */
package garnetscale.core.partition;

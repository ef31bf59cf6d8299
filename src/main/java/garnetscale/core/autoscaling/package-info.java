/**
 * Scale out and scale in: decides for the leader which cloud instances to launch and which to delete.
 *
 * <p>{@link garnetscale.core.autoscaling.Autoscaler} is the only entry point and owns all state of this package. A new leader
 * resets it and starts from the cloud's instance list. It returns {@link garnetscale.core.autoscaling.CloudCall}s, one at a time,
 * and receives their results. Nothing in this package sends a request, writes to the state service or reads a clock.
 */
package garnetscale.core.autoscaling;

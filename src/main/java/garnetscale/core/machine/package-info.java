/**
 * Machines and what runs on them: types, capacity, heartbeats with task status, stored placements and commands. These are
 * plain values, except {@link garnetscale.core.machine.FreeCapacity}, which belongs to the code that created or copied it.
 * The package makes no decisions and depends on {@link garnetscale.core.job} alone; codecs elsewhere define how the values are
 * stored and sent.
 */
package garnetscale.core.machine;

/**
 * Machines and what runs on them: types, capacity, heartbeats with task status, stored placements and commands. These are
 * values, apart from {@link garnetscale.core.machine.FreeCapacity}, which belongs to whoever created or copied it. The package
 * decides nothing and depends on {@link garnetscale.core.job} alone; how values are stored or sent is for codecs elsewhere.
 */
package garnetscale.core.machine;

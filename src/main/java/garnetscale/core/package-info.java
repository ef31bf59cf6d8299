/**
 * Decides. A message and the time go in, effects come out; nothing in here waits, sends, reads a clock or keeps a
 * thread. Its packages own one thing each: {@code job}, {@code machine} and {@code store} the records, {@code line}
 * the order of work, {@code bid} bids and estimates, {@code quota} what teams use, {@code partition} the holder's part,
 * {@code lead} the leader's, {@code autoscaler} renting. Times are milliseconds of one steady clock; callers bring
 * messages one at a time.
 *
 * <p>Records that are compared or hashed in every turn implement {@code equals} and {@code hashCode} explicitly. The
 * compiler's versions are method handles that are linked at the first call, which no class archive can hold: a controller
 * that had just started spent about 3% of its first seconds on linking those of six records.
 */
package garnetscale.core;

/**
 * The scheduler's decisions. A message and the time go in, effects come out: nothing in here or in the packages below does I/O,
 * waits, reads a clock or starts a thread; a test holds them to it. Times are milliseconds of one steady clock. Callers bring
 * one message at a time, so that no state here is shared between threads.
 *
 * <p>Each package owns one part of the state:
 *
 * <ul>
 *   <li>{@code job}, {@code machine}: the records of jobs, tasks, machines and their messages; they own nothing;
 *   <li>{@code state}: the replica of the key-value store, its log and snapshots, and transactions;
 *   <li>{@code queue}: the order in which waiting jobs are served;
 *   <li>{@code bidding}: machines' bids and run-time estimates;
 *   <li>{@code quota}: what each team uses;
 *   <li>{@code partition}: a partition owner's machines, their fencing tokens and commands;
 *   <li>{@code leader}: election, placement and preemption, by the leader alone;
 *   <li>{@code balance}: load of machine groups, and moves of running tasks;
 *   <li>{@code autoscaling}: scale out and scale in;
 *   <li>{@code upgrade}: the layout version of what is stored.
 * </ul>
 *
 * <p>This package itself holds the settings that all of them share: {@link garnetscale.core.SchedulerConfig} and
 * {@link garnetscale.core.Features}. Nothing changes them after the start.
 *
 * <p>Records that are compared or hashed in every scheduling cycle implement {@code equals} and {@code hashCode} explicitly. The
 * compiler's versions are method handles that are linked at the first call, which no class archive can hold: a controller
 * that had just started spent about 3% of its first seconds on linking those of six records.
 */
package garnetscale.core;

/**
 * The scheduler's decisions. The input is a message and the time, the output is effects. Neither this package nor the packages
 * below it do I/O, wait, read a clock or start a thread; a test enforces that. Times are milliseconds of one steady clock.
 * Callers pass one message at a time, so no state in these packages is shared between threads.
 *
 * <p>Each package owns one part of the state:
 *
 * <ul>
 *   <li>{@code job}, {@code machine}: the records of jobs, tasks, machines and their messages, without mutable state;
 *   <li>{@code state}: the replica of the state service's contents, their log and snapshots, and transactions;
 *   <li>{@code queue}: the order in which waiting jobs are served;
 *   <li>{@code bidding}: machines' bids and run-time estimates;
 *   <li>{@code quota}: the resources that each team uses;
 *   <li>{@code partition}: a partition owner's machines, their fencing tokens and commands;
 *   <li>{@code leader}: election, placement and preemption, by the leader alone;
 *   <li>{@code balance}: load of machine groups, and moves of running tasks;
 *   <li>{@code autoscaling}: scale out and scale in;
 *   <li>{@code upgrade}: the layout version of the stored data.
 * </ul>
 *
 * <p>This package itself holds the settings that all of them share: {@link garnetscale.core.SchedulerConfig} and
 * {@link garnetscale.core.Features}. They don't change after start-up.
 *
 * <p>Records that are compared or hashed in every scheduling cycle implement {@code equals} and {@code hashCode} explicitly. The
 * versions that the compiler generates are method handles. They are linked at the first call, and a class data sharing (CDS)
 * archive can't hold the linked state: a controller that had just started spent about 3% of its first seconds on linking those
 * of six records.
 */
package garnetscale.core;

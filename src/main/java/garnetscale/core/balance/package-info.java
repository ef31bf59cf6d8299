/**
 * Load balancing: tracks the load of each group of machines, orders equal bids by load, and decides which running tasks to move
 * to another machine. docs/balancing.md describes it.
 *
 * <p>The leader owns the {@link garnetscale.core.balance.LoadTracker} and the {@link garnetscale.core.balance.MoveBudget}. It
 * updates them from messages that partition owners send for other purposes, and carries out the moves. This package stops no task
 * and stores nothing.
 */
package garnetscale.core.balance;

/**
 * Load balancing: how loaded each group of machines is, which of several equal bids goes first, and which running tasks are
 * worth moving to another machine. docs/balancing.md describes it.
 *
 * <p>The leader owns the {@link garnetscale.core.balance.LoadTracker} and the {@link garnetscale.core.balance.MoveBudget}, feeds
 * them what partition owners publish anyway, and carries out the moves. This package stops no task and stores nothing.
 */
package garnetscale.core.balance;

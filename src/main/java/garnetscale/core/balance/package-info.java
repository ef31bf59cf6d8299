/**
 * Load balancing across the fleet: how loaded each group of machines is, which of several equal bids goes first, and which
 * running tasks are worth stopping because they would run elsewhere. The code is pure; the leader feeds it what its controllers
 * tell it anyway and carries out what comes out. See docs/balancing.md.
 */
package garnetscale.core.balance;

/**
 * Bids and what they rest on: estimates of run times, the bids that the machines of one partition owner make, and the leader's
 * auction that collects them and decides when a job's window closes (paper, DSP steps 3 and 4).
 *
 * <p>{@link garnetscale.core.bidding.Auction} and {@link garnetscale.core.bidding.Estimator} own their state, one instance for
 * each process; {@link garnetscale.core.bidding.Bidding} lives for one batch. The package reads the replica and decides
 * neither which bid wins nor what is stored: that is the leader's job.
 */
package garnetscale.core.bidding;

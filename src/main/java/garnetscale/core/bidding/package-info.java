/**
 * Bidding: estimates of run times, the bids that the machines of one partition owner make, and the leader's auction, which
 * collects bids and decides when a job's window closes (paper, DSP steps 3 and 4).
 *
 * <p>{@link garnetscale.core.bidding.Auction} and {@link garnetscale.core.bidding.Estimator} hold state, with one instance in
 * each process; a {@link garnetscale.core.bidding.Bidding} lives for one batch. The package only reads the replica. Which bid
 * wins and what is stored is decided by the leader.
 */
package garnetscale.core.bidding;

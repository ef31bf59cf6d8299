package garnetscale.core.bidding;

import java.util.List;
import java.util.Map;

/**
 * All bids of one partition owner's machines as of one revision; it replaces the owner's earlier batch.
 *
 * @param node the name of the owner
 * @param incarnation the state lease of the owner's process
 * @param revision the revision of the replica that the bids were made from
 * @param terms the partitions that the owner acts for, with their terms
 * @param bids the bids; those for one job stand together
 */
public record BidBatch(String node, long incarnation, long revision, Map<String, Long> terms, List<Bid> bids) {}

package garnetscale.core.bidding;

import java.util.List;
import java.util.Map;

/**
 * All bids of one holder's machines as of one revision; it replaces the holder's earlier batch.
 *
 * @param terms the blocks that the holder speaks for, with their terms
 */
public record BidBatch(String node, long incarnation, long revision, Map<String, Long> terms, List<Bid> bids) {}

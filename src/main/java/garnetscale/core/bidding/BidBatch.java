package garnetscale.core.bidding;

import java.util.List;
import java.util.Map;

/**
 * All bids of one partition owner's machines, made from one revision of its replica. A batch replaces the owner's earlier one.
 *
 * @param node the name of the owner
 * @param incarnation the id of the session lease of the owner's process
 * @param revision the revision of the replica that the bids were made from
 * @param terms the terms of the partitions that the owner acts for, by partition
 * @param bids the bids; those for one job are adjacent
 */
public record BidBatch(String node, long incarnation, long revision, Map<String, Long> terms, List<Bid> bids) {}

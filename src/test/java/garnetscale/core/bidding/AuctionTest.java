package garnetscale.core.bidding;

import static org.junit.jupiter.api.Assertions.assertEquals;

import garnetscale.core.cluster.PartitionLease;
import garnetscale.core.state.KeyChange;
import garnetscale.core.state.Keys;
import garnetscale.core.state.Records;
import garnetscale.core.state.StateReplica;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Which bid batches the auction keeps. Partition a/0 is leased to n1 under term 7. */
class AuctionTest {

    private static final long TERM = 7;
    private static final long WINDOW_MS = 2000;

    private final StateReplica replica = new StateReplica();
    private final Auction auction = new Auction(replica, WINDOW_MS);

    AuctionTest() {
        PartitionLease lease = new PartitionLease("n1", 1, TERM);
        replica.reset(List.of(new KeyChange(Keys.partition("a/0"), Records.partition(lease), 1)), 1);
    }

    private void submit(String node, long term) {
        Bid bid = new Bid("m-000001", 1, "wk-1", 1, 10);
        auction.onBatch(0, new BidBatch(node, 1, 1, Map.of("a/0", term), List.of(bid)));
    }

    /** What an owner has bid ends with its term: the bids of a crashed owner were ranked as long as the leader led. */
    @Test
    void bidsOfAFormerOwnerAreDropped() {
        submit("n0", TERM - 1);
        auction.dropFormerOwners();
        assertEquals(List.of(), auction.bids("wk-1"));
    }

    /** A batch may arrive before the replica shows its owner's lease. */
    @Test
    void bidsUnderANewerLeaseThanTheReplicaShowsAreKept() {
        submit("n0", TERM + 1);
        auction.dropFormerOwners();
        assertEquals(1, auction.bids("wk-1").size());
    }
}

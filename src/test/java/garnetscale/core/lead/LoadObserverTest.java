package garnetscale.core.lead;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetscale.core.Features;
import garnetscale.core.Params;
import garnetscale.core.TestParams;
import garnetscale.core.balance.BalanceSettings;
import garnetscale.core.balance.GroupTotals;
import garnetscale.core.balance.LoadSnapshot;
import garnetscale.core.balance.MachineGroup;
import garnetscale.core.balance.UnknownReason;
import garnetscale.core.bid.BidBatch;
import garnetscale.core.block.BlockLease;
import garnetscale.core.block.Blocks;
import garnetscale.core.block.LeaderInfo;
import garnetscale.core.block.NodeInfo;
import garnetscale.core.block.Observation;
import garnetscale.core.block.Terms;
import garnetscale.core.machine.MachineType;
import garnetscale.core.store.Keys;
import garnetscale.core.store.Layouts;
import garnetscale.core.store.Records;
import garnetscale.core.store.StateReplica;
import garnetscale.core.store.Txn;
import garnetscale.standin.StateModel;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** What the leader believes of a machine that another controller holds, and when it stops believing it. */
class LoadObserverTest {

    private static final long TERM = Terms.blockTerm(1, 1);
    private static final long LEASE = 10_000;
    private static final MachineGroup GROUP = new MachineGroup("a", "t");

    private final Params params = TestParams.small()
            .members(List.of(new Params.Member("n0", "b", ""), new Params.Member("n1", "a", "")))
            .zones(List.of("a", "b"))
            .features(new Features(
                    false,
                    Features.SETTLE,
                    Layouts.SUPPORTED,
                    Features.NEVER,
                    new BalanceSettings(true, BalanceSettings.MARGIN, BalanceSettings.MOVING)))
            .build();
    private final StateModel state = new StateModel();
    private final StateReplica replica = new StateReplica();
    private final Leader leader = new Leader(params, replica, new Blocks(params), line -> {});

    LoadObserverTest() {
        MachineType type = new MachineType("t", 8, 0, 32, 20, 1, 1, 0.5, 20, List.of("a"));
        state.commit(new Txn()
                .put(Keys.TYPES, Records.types(List.of(type)))
                .put(Keys.node("n0"), Records.node(new NodeInfo("n0", 1, "b", Layouts.SUPPORTED)))
                .put(Keys.node("n1"), Records.node(new NodeInfo("n1", 2, "a", Layouts.SUPPORTED)))
                .put(Keys.block("a/0"), Records.block(new BlockLease("n1", 2, TERM)))
                .put(Keys.block("b/0"), Records.block(new BlockLease("n0", 1, TERM + 1)))
                .put(Keys.LEADER, Records.leader(new LeaderInfo("n0", 1, 1))));
        refresh();
        leader.incarnate(1);
        assertTrue(leader.leads(0));
        observe(0, false);
        bid(0);
    }

    private void refresh() {
        replica.reset(state.list(Keys.MIRRORED, null, 100), state.ledger());
    }

    private void observe(long now, boolean silent) {
        leader.onObservation(
                now,
                new Observation(
                        "n1", 2, "a/0", TERM, "m-1", "h:1", "t", "a", false, 1, null, silent, List.of(), List.of()));
    }

    private void bid(long now) {
        leader.onBids(now, new BidBatch("n1", 2, replica.ledger(), Map.of("a/0", TERM), List.of()));
    }

    private GroupTotals totals(long now) {
        leader.plan(now);
        return leader.load().groups().get(GROUP).totals();
    }

    private void isUnknown(long now, UnknownReason reason) {
        GroupTotals totals = totals(now);
        assertEquals(Map.of(reason, 1), totals.unknown());
        assertEquals(0, totals.serving());
        assertFalse(leader.load().isKnown(GROUP));
    }

    @Test
    void aMachineThatItsHolderVouchesForServes() {
        GroupTotals totals = totals(1000);
        assertEquals(Map.of(), totals.unknown());
        assertEquals(1, totals.serving());
        assertEquals(8000, totals.capacity());
    }

    /** Holders report changes only: a machine at rest is known for as long as its holder gives signs of life. */
    @Test
    void aHolderThatIsNotHeardDoesNotVouch() {
        leader.hears(LEASE, "n1", false);
        assertEquals(Map.of(), totals(LEASE + LEASE / 2).unknown());
        isUnknown(LEASE + LEASE / 2 + 2000, UnknownReason.HOLDER_UNHEARD);
        leader.hears(LEASE * 2, "n1", false);
        assertEquals(Map.of(), totals(LEASE * 2 + 1000).unknown());
    }

    @Test
    void whatAnEarlierTermsHolderSaidDoesNotCount() {
        state.commit(new Txn().put(Keys.block("a/0"), Records.block(new BlockLease("n1", 2, TERM + 2))));
        refresh();
        isUnknown(1000, UnknownReason.BLOCK_REASSIGNED);
    }

    @Test
    void aHolderThatDoesNotBidDoesNotSpeakForItsBlock() {
        leader.onBids(500, new BidBatch("n1", 2, replica.ledger(), Map.of(), List.of()));
        isUnknown(1000, UnknownReason.HOLDER_NOT_BIDDING);
    }

    @Test
    void aSilentMachineIsUnknown() {
        observe(500, true);
        isUnknown(1000, UnknownReason.MACHINE_SILENT);
    }

    @Test
    void nothingIsShownWithoutLeadership() {
        totals(1000);
        leader.incarnate(7);
        leader.leads(2000);
        assertEquals(LoadSnapshot.EMPTY, leader.load());
        assertEquals(List.of(), leader.recentMoves());
    }
}

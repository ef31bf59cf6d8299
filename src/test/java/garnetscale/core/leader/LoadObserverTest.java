package garnetscale.core.leader;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetscale.core.Features;
import garnetscale.core.SchedulerConfig;
import garnetscale.core.TestConfig;
import garnetscale.core.balance.BalanceSettings;
import garnetscale.core.balance.GroupTotals;
import garnetscale.core.balance.LoadSnapshot;
import garnetscale.core.balance.MachineGroup;
import garnetscale.core.balance.UnknownReason;
import garnetscale.core.bidding.BidBatch;
import garnetscale.core.cluster.FencingTokens;
import garnetscale.core.cluster.PartitionMap;
import garnetscale.core.machine.MachineType;
import garnetscale.core.partition.MachineStatus;
import garnetscale.core.state.Keys;
import garnetscale.core.state.Layouts;
import garnetscale.core.state.Records;
import garnetscale.core.state.Transaction;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Whether the leader counts the load of a machine that another controller owns as known, and if not, for which reason. */
class LoadObserverTest {

    private static final long TERM = FencingTokens.partitionTerm(1, 1);
    private static final long WORKER_LEASE_MS = 10_000;
    private static final MachineGroup GROUP = new MachineGroup("a", "t");

    private final SchedulerConfig config = TestConfig.small()
            .controllers(List.of(
                    new SchedulerConfig.ControllerAddress("n0", "b", ""),
                    new SchedulerConfig.ControllerAddress("n1", "a", "")))
            .zones(List.of("a", "b"))
            .features(new Features(
                    false,
                    Features.DEFAULT_ACTIVATION_DELAY_LEASES,
                    Layouts.SUPPORTED,
                    Features.NEVER,
                    new BalanceSettings(true, BalanceSettings.MARGIN, BalanceSettings.MOVING)))
            .build();
    private final ReplicatedState state = new ReplicatedState();
    private final Leader leader = new Leader(config, state.replica, new PartitionMap(config), line -> {});

    LoadObserverTest() {
        MachineType type = new MachineType("t", 8, 0, 32, 20, 1, 1, 0.5, 20, List.of("a"));
        state.commit(new Transaction().put(Keys.TYPES, Records.types(List.of(type))));
        state.join("n0", 1, "b");
        state.join("n1", 2, "a");
        state.lease("a/0", "n1", 2, TERM);
        state.lease("b/0", "n0", 1, TERM + 1);
        state.lead("n0", 1, 1);
        leader.onLeaseChanged(1);
        assertTrue(leader.leads(0));
        publishStatus(0, false);
        bid(0);
    }

    private void publishStatus(long now, boolean silent) {
        leader.onMachineStatus(
                now,
                new MachineStatus(
                        "n1", 2, "a/0", TERM, "m-1", "h:1", "t", "a", false, 1, null, silent, List.of(), List.of()));
    }

    private void bid(long now) {
        leader.onBids(now, new BidBatch("n1", 2, state.replica.revision(), Map.of("a/0", TERM), List.of()));
    }

    private GroupTotals totals(long now) {
        leader.plan(now);
        return leader.load().groups().get(GROUP).totals();
    }

    private void assertUnknown(long now, UnknownReason reason) {
        GroupTotals totals = totals(now);
        assertEquals(Map.of(reason, 1), totals.unknown());
        assertEquals(0, totals.serving());
        assertFalse(leader.load().isKnown(GROUP));
    }

    @Test
    void aMachineWhoseOwnerSendsMessagesAndBidsIsServing() {
        GroupTotals totals = totals(1000);
        assertEquals(Map.of(), totals.unknown());
        assertEquals(1, totals.serving());
        assertEquals(8000, totals.capacity());
    }

    /**
     * Owners publish a machine's status only when it changes, so the load of a machine whose status doesn't change counts as
     * known for as long as messages from its owner arrive.
     */
    @Test
    void theMachinesOfAnOwnerWithoutRecentMessagesAreUnknown() {
        leader.onWorkerReachability(WORKER_LEASE_MS, "n1", false);
        assertEquals(Map.of(), totals(WORKER_LEASE_MS + WORKER_LEASE_MS / 2).unknown());
        assertUnknown(WORKER_LEASE_MS + WORKER_LEASE_MS / 2 + 2000, UnknownReason.OWNER_SILENT);
        leader.onWorkerReachability(WORKER_LEASE_MS * 2, "n1", false);
        assertEquals(Map.of(), totals(WORKER_LEASE_MS * 2 + 1000).unknown());
    }

    @Test
    void aStatusUnderAnEarlierPartitionTermDoesNotCount() {
        state.lease("a/0", "n1", 2, TERM + 2);
        assertUnknown(1000, UnknownReason.PARTITION_REASSIGNED);
    }

    @Test
    void theMachinesOfAnOwnerThatDoesNotBidAreUnknown() {
        leader.onBids(500, new BidBatch("n1", 2, state.replica.revision(), Map.of(), List.of()));
        assertUnknown(1000, UnknownReason.OWNER_NOT_BIDDING);
    }

    @Test
    void aSilentMachineIsUnknown() {
        publishStatus(500, true);
        assertUnknown(1000, UnknownReason.MACHINE_SILENT);
    }

    @Test
    void aControllerThatDoesNotLeadShowsNoLoadAndNoMoves() {
        totals(1000);
        leader.onLeaseChanged(7);
        leader.leads(2000);
        assertEquals(LoadSnapshot.EMPTY, leader.load());
        assertEquals(List.of(), leader.recentMoves());
    }
}

package garnetscale.core.lead;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetscale.core.Params;
import garnetscale.core.TestParams;
import garnetscale.core.block.BlockLease;
import garnetscale.core.block.Blocks;
import garnetscale.core.block.NodeInfo;
import garnetscale.core.store.Keys;
import garnetscale.core.store.Layouts;
import garnetscale.core.store.Records;
import garnetscale.core.store.StateReplica;
import garnetscale.core.store.Txn;
import garnetscale.core.upgrade.ClusterVersion;
import garnetscale.core.upgrade.VersionRange;
import garnetscale.standin.StateModel;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Which controller is given a block, and what is thought of the others meanwhile. */
class BlockAssignmentTest {

    private static final long TERM = 5;

    private final Params params = TestParams.small()
            .members(List.of(new Params.Member("n0", "a", ""), new Params.Member("n1", "a", "")))
            .build();
    private final StateModel state = new StateModel();
    private final StateReplica replica = new StateReplica();
    private final Blocks blocks = new Blocks(params);
    private final PeerHealth health = new PeerHealth(params, replica, line -> {});
    private final BlockAssignment assignment =
            new BlockAssignment(params, replica, blocks, health, new ArrayList<>(), line -> {});
    private long now = 1_000_000;

    BlockAssignmentTest() {
        assignment.begin(now);
        replica.reset(List.of(), 0);
    }

    private void commit(Txn txn) {
        assertEquals(200, state.commit(txn));
        replica.advance(state.changes(Keys.MIRRORED, replica.ledger()), state.ledger());
    }

    private void join(String name, long incarnation, VersionRange layouts) {
        commit(new Txn().put(Keys.node(name), Records.node(new NodeInfo(name, incarnation, "a", layouts))));
    }

    /** Carries out what is due, and says who holds which block. */
    private Map<String, String> assign() {
        for (Txn txn = assignment.plan(now, TERM); txn != null; txn = assignment.plan(now, TERM)) {
            commit(txn);
        }
        Map<String, String> holders = new TreeMap<>();
        for (String block : blocks.all()) {
            BlockLease lease = replica.block(block);
            holders.put(block, lease == null ? "none" : lease.holder());
        }
        return holders;
    }

    @Test
    void blocksAreSharedOutAndGoToTheOtherWhenTheirHolderIsDown() {
        join("n0", 1, Layouts.SUPPORTED);
        join("n1", 2, Layouts.SUPPORTED);
        assertEquals(Map.of("a/0", "n0", "a/1", "n1"), assign());
        long before = replica.block("a/1").term();
        health.suspect(now, "n1", true);
        assertEquals(Map.of("a/0", "n0", "a/1", "n0"), assign());
        assertTrue(replica.block("a/1").term() > before, "terms only rise");
        assertNull(assignment.plan(now, TERM));
    }

    /** It stands aside and answers nobody, so that a block of its would have no holder. */
    @Test
    void aControllerThatCannotReadWhatIsStoredHoldsNoBlock() {
        join("n0", 1, Layouts.SUPPORTED);
        join("n1", 2, VersionRange.FIRST);
        assertEquals(Map.of("a/0", "n0", "a/1", "n1"), assign());
        commit(new Txn().put(Keys.VERSION, Records.version(new ClusterVersion(Layouts.SPLIT_BASE, Layouts.FIRST))));
        assertEquals(Map.of("a/0", "n0", "a/1", "n0"), assign());
    }

    @Test
    void oneThatHearsNoWorkerGivesItsBlockUpWhileAnotherMayDoBetter() {
        join("n0", 1, Layouts.SUPPORTED);
        join("n1", 2, Layouts.SUPPORTED);
        assign();
        health.hears("n0", true);
        assertEquals(Map.of("a/0", "n1", "a/1", "n1"), assign());
    }

    @Test
    void whoIsHeardOfAgainAsTheSameProcessWasFalselySuspected() {
        join("n1", 2, Layouts.SUPPORTED);
        health.suspect(now, "n1", true);
        assertTrue(health.isFreshlySuspected(now, "n1"));
        assertFalse(health.isFreshlySuspected(now + params.nodeTtlMs(), "n1"), "who outlives its lease wasn't down");
        health.suspect(now, "n1", false);
        assertTrue(health.wasFalselySuspected(now, "n1"));
        assertFalse(health.wasFalselySuspected(now + 8 * params.nodeTtlMs(), "n1"));
        health.suspect(now, "n1", true);
        join("n1", 3, Layouts.SUPPORTED);
        now += 9 * params.nodeTtlMs();
        health.suspect(now, "n1", false);
        assertFalse(health.wasFalselySuspected(now, "n1"), "it is a new process: it had been down");
    }
}

package garnetscale.core.leader;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.TestConfig;
import garnetscale.core.partition.ControllerInfo;
import garnetscale.core.partition.PartitionLease;
import garnetscale.core.partition.PartitionMap;
import garnetscale.core.state.Keys;
import garnetscale.core.state.Layouts;
import garnetscale.core.state.Records;
import garnetscale.core.state.StateReplica;
import garnetscale.core.state.Transaction;
import garnetscale.core.upgrade.ClusterVersion;
import garnetscale.core.upgrade.VersionRange;
import garnetscale.emulator.StateModel;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Which controller is given a block, and what is thought of the others meanwhile. */
class PartitionAssignerTest {

    private static final long TERM = 5;

    private final SchedulerConfig config = TestConfig.small()
            .controllers(List.of(
                    new SchedulerConfig.ControllerAddress("n0", "a", ""),
                    new SchedulerConfig.ControllerAddress("n1", "a", "")))
            .build();
    private final StateModel state = new StateModel();
    private final StateReplica replica = new StateReplica();
    private final PartitionMap partitions = new PartitionMap(config);
    private final PeerFailureDetector health = new PeerFailureDetector(config, replica, line -> {});
    private final PartitionAssigner assignment =
            new PartitionAssigner(config, replica, partitions, health, new ArrayList<>(), line -> {});
    private long now = 1_000_000;

    PartitionAssignerTest() {
        assignment.begin(now);
        replica.reset(List.of(), 0);
    }

    private void commit(Transaction transaction) {
        assertEquals(200, state.commit(transaction));
        replica.advance(state.changes(Keys.MIRRORED, replica.revision()), state.revision());
    }

    private void join(String name, long incarnation, VersionRange layouts) {
        commit(new Transaction()
                .put(Keys.node(name), Records.node(new ControllerInfo(name, incarnation, "a", layouts))));
    }

    /** Carries out what is due, and says who holds which block. */
    private Map<String, String> assign() {
        for (Transaction transaction = assignment.plan(now, TERM);
                transaction != null;
                transaction = assignment.plan(now, TERM)) {
            commit(transaction);
        }
        Map<String, String> holders = new TreeMap<>();
        for (String partition : partitions.all()) {
            PartitionLease lease = replica.partition(partition);
            holders.put(partition, lease == null ? "none" : lease.owner());
        }
        return holders;
    }

    @Test
    void blocksAreSharedOutAndGoToTheOtherWhenTheirHolderIsDown() {
        join("n0", 1, Layouts.SUPPORTED);
        join("n1", 2, Layouts.SUPPORTED);
        assertEquals(Map.of("a/0", "n0", "a/1", "n1"), assign());
        long before = replica.partition("a/1").term();
        health.suspect(now, "n1", true);
        assertEquals(Map.of("a/0", "n0", "a/1", "n0"), assign());
        assertTrue(replica.partition("a/1").term() > before, "terms only rise");
        assertNull(assignment.plan(now, TERM));
    }

    /** It stands aside and answers nobody, so that a block of its would have no holder. */
    @Test
    void aControllerThatCannotReadWhatIsStoredHoldsNoBlock() {
        join("n0", 1, Layouts.SUPPORTED);
        join("n1", 2, VersionRange.FIRST);
        assertEquals(Map.of("a/0", "n0", "a/1", "n1"), assign());
        commit(new Transaction()
                .put(Keys.VERSION, Records.version(new ClusterVersion(Layouts.SPLIT_SNAPSHOT, Layouts.FIRST))));
        assertEquals(Map.of("a/0", "n0", "a/1", "n0"), assign());
    }

    @Test
    void oneThatHearsNoWorkerGivesItsBlockUpWhileAnotherMayDoBetter() {
        join("n0", 1, Layouts.SUPPORTED);
        join("n1", 2, Layouts.SUPPORTED);
        assign();
        health.onWorkerReachability("n0", true);
        assertEquals(Map.of("a/0", "n1", "a/1", "n1"), assign());
    }

    @Test
    void whoIsHeardOfAgainAsTheSameProcessWasFalselySuspected() {
        join("n1", 2, Layouts.SUPPORTED);
        health.suspect(now, "n1", true);
        assertTrue(health.isFreshlySuspected(now, "n1"));
        assertFalse(
                health.isFreshlySuspected(now + config.controllerLeaseMs(), "n1"),
                "who outlives its lease wasn't down");
        health.suspect(now, "n1", false);
        assertTrue(health.wasFalselySuspected(now, "n1"));
        assertFalse(health.wasFalselySuspected(now + 8 * config.controllerLeaseMs(), "n1"));
        health.suspect(now, "n1", true);
        join("n1", 3, Layouts.SUPPORTED);
        now += 9 * config.controllerLeaseMs();
        health.suspect(now, "n1", false);
        assertFalse(health.wasFalselySuspected(now, "n1"), "it is a new process: it had been down");
    }
}

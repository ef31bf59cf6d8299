package garnetscale.core.leader;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.TestConfig;
import garnetscale.core.cluster.PartitionLease;
import garnetscale.core.cluster.PartitionMap;
import garnetscale.core.state.Keys;
import garnetscale.core.state.Layouts;
import garnetscale.core.state.Records;
import garnetscale.core.state.StateReplica;
import garnetscale.core.state.Transaction;
import garnetscale.core.upgrade.ClusterVersion;
import garnetscale.core.upgrade.VersionRange;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Which controller owns each partition, and which controllers are suspected. */
class PartitionAssignerTest {

    private static final long TERM = 5;
    /** Status of a transaction whose guards don't hold. */
    private static final int CONFLICT = 409;

    private final SchedulerConfig config = TestConfig.small()
            .controllers(List.of(
                    new SchedulerConfig.ControllerAddress("n0", "a", ""),
                    new SchedulerConfig.ControllerAddress("n1", "a", "")))
            .build();
    private final ReplicatedState state = new ReplicatedState();
    private final StateReplica replica = state.replica;
    private final PartitionMap partitions = new PartitionMap(config);
    private final PeerFailureDetector failureDetector = new PeerFailureDetector(config, replica, line -> {});
    private final PartitionAssigner assigner =
            new PartitionAssigner(config, replica, partitions, failureDetector, new ArrayList<>(), line -> {});
    private long now = 1_000_000;

    PartitionAssignerTest() {
        assigner.begin(now);
    }

    /** Commits all due transactions, and returns the owner of each partition. */
    private Map<String, String> assign() {
        for (Transaction transaction = assigner.plan(now, TERM);
                transaction != null;
                transaction = assigner.plan(now, TERM)) {
            state.commit(transaction);
        }
        Map<String, String> owners = new TreeMap<>();
        for (String partition : partitions.all()) {
            PartitionLease lease = replica.partition(partition);
            owners.put(partition, lease == null ? "none" : lease.owner());
        }
        return owners;
    }

    @Test
    void partitionsAreDistributedAndReassignedWhenTheirOwnerIsDown() {
        state.join("n0", 1, "a");
        state.join("n1", 2, "a");
        assertEquals(Map.of("a/0", "n0", "a/1", "n1"), assign());
        long before = replica.partition("a/1").term();
        failureDetector.onPeerReachability(now, "n1", true);
        assertEquals(Map.of("a/0", "n0", "a/1", "n0"), assign());
        assertTrue(replica.partition("a/1").term() > before, "terms only rise");
        assertNull(assigner.plan(now, TERM));
    }

    /**
     * A copy of a lease transaction arrives after the partition has moved under the same leader. If it were applied, the term would
     * go back, and no controller would acknowledge the heartbeats of machines that have seen the newer term.
     */
    @Test
    void aRepeatedLeaseTransactionDoesNotRestoreAnOlderTerm() {
        state.join("n0", 1, "a");
        state.join("n1", 2, "a");
        Transaction first = assigner.plan(now, TERM);
        state.commit(first);
        assertEquals(CONFLICT, state.service.commit(first), "at once");
        failureDetector.onPeerReachability(now, "n1", true);
        assign();
        PartitionLease moved = replica.partition("a/1");
        assertEquals(CONFLICT, state.service.commit(first), "after the partition has moved");
        state.follow();
        assertEquals(moved, replica.partition("a/1"));
    }

    /**
     * A controller that can't read the stored layout makes no decisions and answers no requests, so its partitions would have
     * no working owner.
     */
    @Test
    void aControllerThatCannotReadTheStoredLayoutOwnsNoPartition() {
        state.join("n0", 1, "a");
        state.join("n1", 2, "a", VersionRange.FIRST);
        assertEquals(Map.of("a/0", "n0", "a/1", "n1"), assign());
        state.commit(new Transaction()
                .put(Keys.VERSION, Records.version(new ClusterVersion(Layouts.SPLIT_SNAPSHOT, Layouts.FIRST))));
        assertEquals(Map.of("a/0", "n0", "a/1", "n0"), assign());
    }

    @Test
    void aControllerIsolatedFromWorkersLosesItsPartitionToOneThatIsNot() {
        state.join("n0", 1, "a");
        state.join("n1", 2, "a");
        assign();
        failureDetector.onWorkerReachability("n0", true);
        assertEquals(Map.of("a/0", "n1", "a/1", "n1"), assign());
    }

    @Test
    void aSuspectThatReturnsAsTheSameProcessWasFalselySuspected() {
        state.join("n1", 2, "a");
        failureDetector.onPeerReachability(now, "n1", true);
        assertTrue(failureDetector.isRecentlySuspected(now, "n1"));
        assertFalse(
                failureDetector.isRecentlySuspected(now + config.controllerLeaseMs(), "n1"),
                "a process that is still live a lease after it was suspected wasn't down");
        failureDetector.onPeerReachability(now, "n1", false);
        assertTrue(failureDetector.wasFalselySuspected(now, "n1"));
        assertFalse(failureDetector.wasFalselySuspected(now + 8 * config.controllerLeaseMs(), "n1"));
        failureDetector.onPeerReachability(now, "n1", true);
        state.join("n1", 3, "a");
        now += 9 * config.controllerLeaseMs();
        failureDetector.onPeerReachability(now, "n1", false);
        assertFalse(failureDetector.wasFalselySuspected(now, "n1"), "it is a new process: it had been down");
    }
}

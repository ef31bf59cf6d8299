package garnetscale.core.state;

import static garnetscale.core.state.LargeClusterFixture.MACHINES;
import static garnetscale.core.state.LargeClusterFixture.MACHINES_IN_ENTRY;
import static garnetscale.core.state.LargeClusterFixture.OPS;
import static garnetscale.core.state.LargeClusterFixture.VALUE_BYTES;
import static garnetscale.core.state.LargeClusterFixture.machine;
import static garnetscale.core.state.LargeClusterFixture.machinesOfEntry;
import static garnetscale.core.state.LargeClusterFixture.visibleState;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetscale.core.machine.Placement;
import garnetscale.core.upgrade.ClusterVersion;
import garnetscale.core.upgrade.VersionRange;
import garnetscale.emulator.StateModel;
import garnetscale.wire.Cbor;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** A snapshot that outgrows its shards is split within the service's limits; new replicas match the leader's throughout. */
class SplitSnapshotTest {

    private final LargeClusterFixture cluster = new LargeClusterFixture();
    private final StateReplica leader = cluster.leader;

    @Test
    void fourThousandMachinesAreStoredWithinTheLimits() {
        StateReplica follower = cluster.listAtOnce();
        for (int i = 0; i < MACHINES; i += MACHINES_IN_ENTRY) {
            cluster.write(machinesOfEntry(i));
            // A removed record must not reappear from a bucket that was only partly rewritten.
            cluster.remove(List.of(machine(cluster.random.nextInt(i + 1))));
            // Between these sizes, shards outgrow one compaction, and are partly split for a while.
            if (i > MACHINES / 5 && i < MACHINES / 2 || i % (10 * MACHINES_IN_ENTRY) == 0) {
                cluster.assertNewReplicaMatchesLeader("filled up to " + i);
            }
        }
        int listings = 0;
        for (int round = 0; round < 12; round++) {
            for (int i = 0; i < 60; i++) {
                cluster.writeRandomMachines();
            }
            StateReplica lister = cluster.listInPages();
            cluster.follow(follower);
            assertFalse(follower.isInconsistent(), "round " + round);
            assertEquals(visibleState(leader), visibleState(follower), "follower in round " + round);
            if (lister != null) {
                listings++;
                assertFalse(lister.isInconsistent(), "round " + round);
                assertEquals(visibleState(leader), visibleState(lister), "lister in round " + round);
            }
        }
        assertTrue(listings >= 8, "only " + listings + " of 12 listings were consistent");
        assertTrue(
                leader.log().snapshot().regionCount() > 4 * WorkLog.SHARDS,
                leader.log().snapshot().regionCount() + " regions");
        assertEquals(List.of(), cluster.state.oversized());
    }

    /** The ring buffer stays proportional to the snapshot, and no entry is overwritten before it is compacted. */
    @Test
    void theRingBufferGrowsWithTheSnapshotAndStaysBounded() {
        cluster.fill();
        for (int i = 0; i < 3000; i++) {
            cluster.writeRandomMachines();
            assertFalse(leader.log().isFull(), "after " + i);
        }
        int entries = cluster.list(Keys.LOG).size();
        assertTrue(entries > WorkLog.FIRST_CAPACITY, "only " + entries + " entries");
        assertTrue(entries <= WorkLog.capacity(leader.log().snapshot().regionCount()), entries + " entries");
    }

    /** In the first layout no shard is split, so the service rejects a transaction that has become too large. */
    @Test
    void withoutSplittingTheLimitsAreExceeded() {
        cluster.activate(Layouts.FIRST);
        try {
            for (int i = 0; i < MACHINES; i++) {
                List<String> machine = List.of(machine(i));
                // A record that doesn't fit beside a compaction is written by a later transaction.
                while (!leader.machinesWithRecords().containsAll(machine)) {
                    cluster.write(machine);
                }
            }
        } catch (AssertionError refused) {
            assertFalse(cluster.state.oversized().isEmpty());
            assertEquals(Layouts.FIRST, leader.layout());
            int stored = leader.machinesWithRecords().size();
            assertTrue(stored > MACHINES / 4, "only " + stored + " machines were stored");
            return;
        }
        throw new AssertionError("4,000 machines fit into the first layout");
    }

    /** A listing kept from the previous version of the program is read completely and converted to the second layout. */
    @Test
    void theStateOfThePreviousVersionIsRead() throws IOException {
        Map<?, ?> recorded;
        try (InputStream in = SplitSnapshotTest.class.getResourceAsStream("/layouts/first-layout.cbor")) {
            recorded = Cbor.readMap(in.readAllBytes());
        }
        List<KeyChange> stored = new ArrayList<>();
        for (Object pair : (List<?>) recorded.get("pairs")) {
            Map<?, ?> row = (Map<?, ?>) pair;
            stored.add(new KeyChange((String) row.get("key"), row.get("v"), ((Number) row.get("stamp")).longValue()));
        }
        StateReplica replica = new StateReplica();
        replica.reset(stored, ((Number) recorded.get("ledger")).longValue());
        assertTrue(replica.isLoaded(), replica.unreadable());
        assertEquals(VersionRange.FIRST, replica.controller("n0").layouts());
        Map<?, ?> expected = (Map<?, ?>) recorded.get("expected");
        assertEquals(((Number) expected.get("sequence")).longValue(), replica.sequence());
        assertEquals(expected.get("placements"), placementsOf(replica));
        ((Map<?, ?>) expected.get("finished"))
                .forEach((job, finished) -> assertEquals(
                        finished, replica.job((String) job).finishedSet().toString()));

        Transaction everything = new Transaction();
        stored.forEach(c -> everything.put(c.key(), c.value()));
        everything.put(Keys.VERSION, Records.version(new ClusterVersion(Layouts.SPLIT_SNAPSHOT, Layouts.FIRST)));
        StateModel converted = new StateModel();
        converted.commit(everything);
        StateReplica follower = new StateReplica();
        follower.reset(converted.list(Keys.REPLICATED, null, 100_000), converted.revision());
        for (int i = 0; i < 3 * WorkLog.FIRST_CAPACITY; i++) {
            LogWriter log =
                    new LogWriter(follower, new LogWriter.Limits(VALUE_BYTES, OPS, Layouts.SPLIT_SNAPSHOT, false));
            Transaction transaction = new Transaction();
            log.write(
                    transaction,
                    Map.of("m-999999", new MachineRecord("a", List.of(), Map.of("img", (double) i))),
                    Map.of());
            assertEquals(200, converted.commit(transaction));
            follower.advance(converted.changes(Keys.REPLICATED, follower.revision()), converted.revision());
        }
        assertEquals(Layouts.SPLIT_SNAPSHOT, follower.layout());
        StateReplica fresh = new StateReplica();
        fresh.reset(converted.list(Keys.REPLICATED, null, 100_000), converted.revision());
        Map<String, List<String>> after = placementsOf(fresh);
        after.remove("m-999999");
        assertEquals(expected.get("placements"), after);
    }

    /** A bucket that a listing missed, because it was split during the listing, must be detected and not be read as empty. */
    @Test
    void aListingWithoutOneOfTheBucketsIsInconsistent() {
        cluster.fill();
        List<KeyChange> all = cluster.list(Keys.REPLICATED);
        List<KeyChange> buckets = all.stream()
                .filter(page -> page.key().startsWith(Keys.SNAPSHOT)
                        && !SnapshotIndex.bucketOf(page.key()).isRoot())
                .toList();
        assertTrue(buckets.size() > WorkLog.SHARDS, buckets.size() + " buckets");
        int inconsistent = 0;
        for (KeyChange missing : buckets) {
            StateReplica replica = new StateReplica();
            replica.reset(
                    all.stream()
                            .filter(listed -> !listed.key().equals(missing.key()))
                            .toList(),
                    cluster.state.revision());
            // The missing region may be read from an older, larger bucket that is still stored. The
            // replica then applies the entries since that bucket, or is behind if some of them are gone.
            boolean isBehind = replica.sequence() < leader.sequence();
            assertTrue(
                    replica.isInconsistent()
                            || isBehind
                            || visibleState(replica).equals(visibleState(leader)),
                    "without " + missing.key());
            inconsistent += replica.isInconsistent() ? 1 : 0;
        }
        assertTrue(inconsistent > WorkLog.SHARDS, "only " + inconsistent + " were inconsistent");
    }

    private static Map<String, List<String>> placementsOf(StateReplica replica) {
        Map<String, List<String>> placements = new TreeMap<>();
        for (String machine : replica.machinesWithRecords()) {
            placements.put(
                    machine,
                    replica.placements(machine).stream()
                            .map(placement -> placement.task() + " " + placement.attempt() + " "
                                    + placement.agentEpoch() + " " + storedStopName(placement.stop()))
                            .toList());
        }
        return placements;
    }

    /** Returns the name of a stop mode in the kept file, which uses the constants of the previous version of the program. */
    private static String storedStopName(Placement.Stop stop) {
        return switch (stop) {
            case KEEP -> "KEEP";
            case CHECKPOINT -> "SAVE";
            case NOW -> "NOW";
        };
    }
}

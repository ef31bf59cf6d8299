package garnetscale.core.state;

import static garnetscale.core.state.LargeClusterFixture.MACHINES;
import static garnetscale.core.state.LargeClusterFixture.MACHINES_IN_ENTRY;
import static garnetscale.core.state.LargeClusterFixture.machine;
import static garnetscale.core.state.LargeClusterFixture.visibleState;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Conversion from the first layout to the second and back; new replicas must match the leader's at every step. */
class LayoutChangeTest {

    private final LargeClusterFixture cluster = new LargeClusterFixture();
    private final StateReplica leader = cluster.leader;

    /** A shard that layout 1 stored in several pages is converted, whichever of its buckets is written first. */
    @Test
    void shardsOfSeveralPagesAreConverted() {
        cluster.activate(Layouts.FIRST);
        List<String> shard = new ArrayList<>();
        // Four buckets, of which a transaction can hold two: the shard is partly split for a while.
        for (int i = 0; i < 40; i++) {
            shard.add(machine(i * WorkLog.SHARDS));
        }
        for (int i = 0; i < 2 * WorkLog.FIRST_CAPACITY; i++) {
            cluster.write(List.of(shard.get(i % shard.size())));
        }
        Bucket root = Bucket.root(Bucket.shardOf(Bucket.hashOfMachine(shard.get(0))));
        assertTrue(leader.log().snapshot().pages(root) > 1, "one page only");
        cluster.activate(Layouts.SPLIT_SNAPSHOT);
        for (int i = 0; i < 2 * WorkLog.FIRST_CAPACITY; i++) {
            cluster.write(List.of(shard.get(i % shard.size())));
            StateReplica fresh = cluster.listAtOnce();
            assertTrue(fresh.isLoaded(), "entry " + i);
            assertEquals(visibleState(leader), visibleState(fresh), "entry " + i);
        }
        assertEquals(0, leader.log().snapshot().pages(root));
        assertEquals(Layouts.SPLIT_SNAPSHOT, leader.layout());
    }

    /**
     * A controller that supports only layout 1 expects consecutive sequence numbers and counts the pages of a shard. The first
     * split violates both, so such a controller lists the store repeatedly and never makes decisions.
     */
    @Test
    void theFirstLayoutFindsASplitStoreInconsistent() {
        for (int i = 0; leader.layout() == Layouts.FIRST; i += MACHINES_IN_ENTRY) {
            long before = leader.sequence();
            List<String> machines = new ArrayList<>();
            for (int k = i; k < i + MACHINES_IN_ENTRY; k++) {
                machines.add(machine(k % MACHINES));
            }
            cluster.write(machines);
            assertEquals(leader.layout() == Layouts.FIRST ? 1 : 2, leader.sequence() - before);
        }
        Map<String, Integer> found = new HashMap<>();
        Map<String, Integer> expected = new HashMap<>();
        for (KeyChange page : cluster.list(Keys.SNAPSHOT)) {
            int slash = page.key().lastIndexOf('/');
            String shard = page.key().substring(0, slash);
            found.merge(shard, Integer.parseInt(page.key().substring(slash + 1)) + 1, Math::max);
            expected.put(shard, LogCodec.pageCountOf(page.value()));
        }
        assertFalse(found.equals(expected), "layout 1 would accept the listing as complete");
    }

    /**
     * After a large store has shrunk, it is converted back to the first layout, and then to the second again. New replicas
     * must match the leader's at every step, and the converted store must be exactly as the first layout writes it.
     */
    @Test
    void theFirstLayoutIsRestoredWhenItIsActiveAgain() {
        cluster.fill();
        List<String> few = shrinkToFewMachines();

        cluster.activate(Layouts.FIRST);
        convert(few);
        for (int i = 0; i < 3 * WorkLog.FIRST_CAPACITY; i++) {
            writeOneOf(few);
        }

        cluster.assertNewReplicaMatchesLeader("converted");
        assertTrue(cluster.fullCount() > 0, "the log was never full");
        for (KeyChange entry : cluster.list(Keys.LOG)) {
            assertEquals(LogRingBuffer.firstLayoutKey(LogCodec.sequenceOf(entry.value())), entry.key());
        }
        for (KeyChange page : cluster.list(Keys.SNAPSHOT)) {
            assertTrue(SnapshotIndex.bucketOf(page.key()).isRoot(), page.key());
        }

        cluster.activate(Layouts.SPLIT_SNAPSHOT);
        cluster.fill();

        cluster.assertNewReplicaMatchesLeader("second layout again");
        assertEquals(Layouts.SPLIT_SNAPSHOT, leader.layout());
        assertEquals(List.of(), cluster.state.oversized());
    }

    /** Removes all machines and writes 300 of them again; the snapshot stays split. */
    private List<String> shrinkToFewMachines() {
        List<String> all = List.copyOf(leader.machinesWithRecords());
        for (int i = 0; i < all.size(); i += MACHINES_IN_ENTRY) {
            cluster.remove(all.subList(i, Math.min(all.size(), i + MACHINES_IN_ENTRY)));
        }
        List<String> few = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            few.add(machine(i));
        }
        assertTrue(
                leader.log().snapshot().regionCount() > 4 * WorkLog.SHARDS,
                leader.log().snapshot().regionCount() + " regions");
        for (int i = 0; i < few.size(); i += MACHINES_IN_ENTRY) {
            cluster.write(few.subList(i, i + MACHINES_IN_ENTRY));
        }
        // Fills the ring buffer once more, so that the keys of the first layout hold entries of any age.
        for (int i = 4 * leader.log().snapshot().regionCount(); i > 0; i--) {
            writeOneOf(few);
        }
        return few;
    }

    /** Writes until everything is in the first layout, and compares replicas after some of the steps. */
    private void convert(List<String> few) {
        int steps = 0;
        while (!leader.isConverted()) {
            // Every other step also writes a record; the others only convert.
            if (steps % 2 == 0) {
                writeOneOf(few);
            } else {
                cluster.write(List.of());
            }
            // At first, keys of the first layout still hold entries that are needed but have other sequence numbers.
            if (++steps < 40 || steps % 25 == 0) {
                cluster.assertNewReplicaMatchesLeader("step " + steps);
            }
            assertTrue(steps < 5000, "not converted");
        }
    }

    private void writeOneOf(List<String> machines) {
        cluster.write(List.of(machines.get(cluster.random.nextInt(machines.size()))));
    }
}

package garnetscale.core.state;

import static garnetscale.core.state.LargeClusterFixture.MACHINES;
import static garnetscale.core.state.LargeClusterFixture.MACHINES_IN_ENTRY;
import static garnetscale.core.state.LargeClusterFixture.machine;
import static garnetscale.core.state.LargeClusterFixture.seen;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** From the first layout to the second and back: whichever is active, what is stored is read alike at every moment. */
class LayoutChangeTest {

    private final LargeClusterFixture cluster = new LargeClusterFixture();
    private final StateReplica leader = cluster.leader;

    /** What was stored in several pages before is converted, whichever of its parts is written first. */
    @Test
    void shardsOfSeveralPagesAreTakenOver() {
        cluster.activate(Layouts.FIRST);
        List<String> shard = new ArrayList<>();
        // Four buckets, of which a transaction holds two: the shard is partly split for a while.
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
            assertEquals(seen(leader), seen(fresh), "entry " + i);
        }
        assertEquals(0, leader.log().snapshot().pages(root));
        assertEquals(Layouts.SPLIT_SNAPSHOT, leader.layout());
    }

    /**
     * A controller of layout 1 follows entries by consecutive numbers and counts the pages of a shard. The first split is
     * made to fail both, so that such a controller lists the store for ever and never decides anything.
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
        assertFalse(found.equals(expected), "layout 1 would take it for whole");
    }

    /**
     * Back to the first layout once the cluster is small enough for it, however far the store had grown, and on again: read
     * alike at every moment, and in the end just as the first layout would have stored it.
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

        cluster.assertReadAlike("converted");
        assertTrue(cluster.fullCount() > 0, "the log was never full");
        for (KeyChange entry : cluster.list(Keys.LOG)) {
            assertEquals(LogRingBuffer.firstLayoutKey(LogCodec.numberOf(entry.value())), entry.key());
        }
        for (KeyChange page : cluster.list(Keys.SNAPSHOT)) {
            assertTrue(SnapshotIndex.bucketOf(page.key()).isRoot(), page.key());
        }

        cluster.activate(Layouts.SPLIT_SNAPSHOT);
        cluster.fill();

        cluster.assertReadAlike("on again");
        assertEquals(Layouts.SPLIT_SNAPSHOT, leader.layout());
        assertEquals(List.of(), cluster.state.oversized());
    }

    /** Removes all machines and writes 300 of them again, while the snapshot stays split as it was. */
    private List<String> shrinkToFewMachines() {
        List<String> all = List.copyOf(leader.placedMachines());
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
        // Once round the ring buffer, so that the keys that the first layout uses hold entries of any age.
        for (int i = 4 * leader.log().snapshot().regionCount(); i > 0; i--) {
            writeOneOf(few);
        }
        return few;
    }

    /** Writes until everything is in the first layout, and compares on the way. */
    private void convert(List<String> few) {
        int steps = 0;
        while (!leader.isConverted()) {
            // Half of the time there is work meanwhile, half of the time the conversion goes on by itself.
            if (steps % 2 == 0) {
                writeOneOf(few);
            } else {
                cluster.write(List.of());
            }
            // At first entries are in keys that the first layout would use for others, and are still needed.
            if (++steps < 40 || steps % 25 == 0) {
                cluster.assertReadAlike("step " + steps);
            }
            assertTrue(steps < 5000, "not converted");
        }
    }

    private void writeOneOf(List<String> machines) {
        cluster.write(List.of(machines.get(cluster.random.nextInt(machines.size()))));
    }
}

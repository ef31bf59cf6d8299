package garnetscale.core.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetscale.core.job.JobRecord;
import garnetscale.core.job.JobState;
import garnetscale.core.job.TaskId;
import garnetscale.core.job.TestJob;
import garnetscale.core.machine.Placement;
import garnetscale.core.upgrade.ClusterVersion;
import garnetscale.core.upgrade.VersionRange;
import garnetscale.emulator.StateLimits;
import garnetscale.emulator.StateModel;
import garnetscale.wire.Cbor;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** A base that has outgrown its shards is split within the service's limits, and read alike by whoever comes at any moment. */
class SplitSnapshotTest {

    private static final int VALUE_BYTES = 16 * 1024;
    private static final int OPS = 24;
    private static final int TRANSACTION_BYTES = 64 * 1024;
    /** Machines in all, and placements on each: a shard takes 120 KB, twice what a transaction may hold. */
    private static final int MACHINES = 4000;

    private static final int PLACEMENTS = 14;
    private static final int MACHINES_IN_ENTRY = 12;
    private static final int PAGE = 40;

    private final StateModel state = new StateModel(new StateLimits(VALUE_BYTES, OPS, TRANSACTION_BYTES));
    private final Random random = new Random(11);
    private final StateReplica leader = new StateReplica();
    private long attempts;
    /** Transactions that could only fold. */
    private int full;

    SplitSnapshotTest() {
        state.commit(new Transaction()
                .put(
                        Keys.job("wk-1"),
                        Records.job(new JobRecord(
                                TestJob.named("wk-1").tasks(100_000).build(), JobState.LIVE, 0))));
        leader.reset(state.list(Keys.MIRRORED, null, 1000), state.revision());
        activate(Layouts.SPLIT_SNAPSHOT);
    }

    private void activate(int version) {
        state.commit(new Transaction().put(Keys.VERSION, Records.version(new ClusterVersion(version, Layouts.FIRST))));
        follow(leader);
    }

    /** Writes an entry with the records of some machines, and whatever is due to be folded. */
    private void write(List<String> machines) {
        Map<String, MachineRecord> records = new LinkedHashMap<>();
        for (String id : machines) {
            List<Placement> placed = new ArrayList<>();
            for (int n = 0; n < PLACEMENTS; n++) {
                attempts++;
                placed.add(new Placement(
                        new TaskId("wk-1", (int) (attempts % 100_000)), 1L << 40 | attempts, 1, Placement.Stop.KEEP));
            }
            records.put(id, new MachineRecord("zone", placed, Map.of("img-07", 3.5, "img-11", 0.25)));
        }
        commit(records);
    }

    /** Commits an entry with these records and a task that is finished. */
    private void commit(Map<String, MachineRecord> records) {
        LogWriter log = new LogWriter(
                leader, new LogWriter.Limits(VALUE_BYTES, OPS, leader.version().active(), false));
        int task = random.nextInt(100_000);
        BitSet finished = leader.job("wk-1").finishedSet();
        finished.set(task);
        String part = WorkLog.partOf("wk-1", task);
        Transaction transaction = new Transaction();
        boolean isFull = !log.fits(0);
        full += isFull ? 1 : 0;
        log.write(transaction, isFull ? Map.of() : records, Map.of(part, WorkLog.bitsOf(finished, part)));
        assertEquals(200, state.commit(transaction), () -> state.oversized().toString());
        follow(leader);
    }

    private void writeAny() {
        List<String> machines = new ArrayList<>();
        for (int i = random.nextInt(MACHINES_IN_ENTRY); i >= 0; i--) {
            machines.add(machine(random.nextInt(MACHINES)));
        }
        write(machines.stream().distinct().toList());
    }

    private static String machine(int i) {
        return "m-" + (100_000 + i);
    }

    /** Fills the fleet from nothing, a few machines an entry. */
    private void fill() {
        for (int i = 0; i < MACHINES; i += MACHINES_IN_ENTRY) {
            List<String> machines = new ArrayList<>();
            for (int k = i; k < Math.min(MACHINES, i + MACHINES_IN_ENTRY); k++) {
                machines.add(machine(k));
            }
            write(machines);
        }
    }

    private void follow(StateReplica replica) {
        replica.advance(state.changes(Keys.MIRRORED, replica.revision()), state.revision());
    }

    /** Lists in pages, with the store going on between them; null when what was read doesn't hold together. */
    private StateReplica list() {
        List<KeyChange> all = new ArrayList<>();
        long first = state.revision();
        String since = null;
        List<KeyChange> page;
        do {
            page = state.list(Keys.MIRRORED, since, PAGE);
            all.addAll(page);
            since = page.isEmpty() ? null : page.get(page.size() - 1).key();
            for (int i = random.nextInt(3); i > 0; i--) {
                writeAny();
            }
        } while (page.size() == PAGE);
        StateReplica replica = new StateReplica();
        replica.reset(all, first);
        if (!replica.loaded()) {
            return null;
        }
        follow(replica);
        return replica;
    }

    private static Map<String, Object> seen(StateReplica replica) {
        Map<String, Object> all = new TreeMap<>();
        replica.placedMachines().forEach(id -> all.put(id, replica.placements(id)));
        all.put("finished", replica.job("wk-1").finishedSet());
        return all;
    }

    @Test
    void aFleetOfFourThousandIsStoredWithinTheLimitsAndReadAlike() {
        StateReplica follower = new StateReplica();
        follower.reset(state.list(Keys.MIRRORED, null, 1000), state.revision());
        for (int i = 0; i < MACHINES; i += MACHINES_IN_ENTRY) {
            List<String> machines = new ArrayList<>();
            for (int k = i; k < Math.min(MACHINES, i + MACHINES_IN_ENTRY); k++) {
                machines.add(machine(k));
            }
            write(machines);
            // What is gone must not come back from a bucket of which only a part was written anew.
            remove(List.of(machine(random.nextInt(i + 1))));
            // Between these sizes shards outgrow what one transaction folds, and are for a while split in part.
            if (i > MACHINES / 5 && i < MACHINES / 2 || i % (10 * MACHINES_IN_ENTRY) == 0) {
                assertReadAlike("filled up to " + i);
            }
        }
        int listings = 0;
        for (int round = 0; round < 12; round++) {
            for (int i = 0; i < 60; i++) {
                writeAny();
            }
            StateReplica lister = list();
            follow(follower);
            assertFalse(follower.inconsistent(), "round " + round);
            assertEquals(seen(leader), seen(follower), "follower in round " + round);
            if (lister != null) {
                listings++;
                assertFalse(lister.inconsistent(), "round " + round);
                assertEquals(seen(leader), seen(lister), "lister in round " + round);
            }
        }
        assertTrue(listings >= 8, "only " + listings + " of 12 listings held together");
        assertTrue(
                leader.log().snapshot().regionCount() > 4 * WorkLog.SHARDS,
                leader.log().snapshot().regionCount() + " regions");
        assertEquals(List.of(), state.oversized());
    }

    /** The ring stays in proportion to the base, and nothing is overwritten before it is folded. */
    @Test
    void theRingGrowsWithTheBaseAndStaysBounded() {
        fill();
        for (int i = 0; i < 3000; i++) {
            writeAny();
            assertFalse(leader.log().isFull(), "after " + i);
        }
        int entries = state.list(Keys.LOG, null, 100_000).size();
        assertTrue(entries > WorkLog.FIRST_CAPACITY, "only " + entries + " entries");
        assertTrue(entries <= WorkLog.capacity(leader.log().snapshot().regionCount()), entries + " entries");
    }

    /** Without the layout that allows it nothing is split: then the service refuses what has outgrown a transaction. */
    @Test
    void withoutSplittingTheLimitsAreExceeded() {
        activate(Layouts.FIRST);
        try {
            for (int i = 0; i < MACHINES; i++) {
                List<String> machine = List.of(machine(i));
                // What finds no room beside a fold is written with a later transaction.
                while (!leader.placedMachines().containsAll(machine)) {
                    write(machine);
                }
            }
        } catch (AssertionError refused) {
            assertFalse(state.oversized().isEmpty());
            assertEquals(Layouts.FIRST, leader.layout());
            int stored = leader.placedMachines().size();
            assertTrue(stored > MACHINES / 4, "only " + stored + " machines were stored");
            return;
        }
        throw new AssertionError("4,000 machines fit into the first layout");
    }

    /** What was stored in several pages before is taken over, whichever of its parts is written first. */
    @Test
    void shardsOfSeveralPagesAreTakenOver() {
        activate(Layouts.FIRST);
        List<String> shard = new ArrayList<>();
        // Four buckets, of which a transaction holds two: the shard is split in part for a while.
        for (int i = 0; i < 40; i++) {
            shard.add(machine(i * WorkLog.SHARDS));
        }
        for (int i = 0; i < 2 * WorkLog.FIRST_CAPACITY; i++) {
            write(List.of(shard.get(i % shard.size())));
        }
        Bucket root = Bucket.root(Bucket.shardOf(Bucket.hashOfMachine(shard.get(0))));
        assertTrue(leader.log().snapshot().pages(root) > 1, "one page only");
        activate(Layouts.SPLIT_SNAPSHOT);
        for (int i = 0; i < 2 * WorkLog.FIRST_CAPACITY; i++) {
            write(List.of(shard.get(i % shard.size())));
            StateReplica fresh = new StateReplica();
            fresh.reset(state.list(Keys.MIRRORED, null, 100_000), state.revision());
            assertTrue(fresh.loaded(), "entry " + i);
            assertEquals(seen(leader), seen(fresh), "entry " + i);
        }
        assertEquals(0, leader.log().snapshot().pages(root));
        assertEquals(Layouts.SPLIT_SNAPSHOT, leader.layout());
    }

    /**
     * A controller of layout 1 follows entries by consecutive numbers and counts the pages of a base. The first split is
     * made to fail both, so that such a controller reads the store anew for ever and never decides anything.
     */
    @Test
    void theFirstLayoutFindsASplitStoreTorn() {
        for (int i = 0; leader.layout() == Layouts.FIRST; i += MACHINES_IN_ENTRY) {
            long before = leader.sequence();
            List<String> machines = new ArrayList<>();
            for (int k = i; k < i + MACHINES_IN_ENTRY; k++) {
                machines.add(machine(k % MACHINES));
            }
            write(machines);
            assertEquals(leader.layout() == Layouts.FIRST ? 1 : 2, leader.sequence() - before);
        }
        Map<String, Integer> found = new HashMap<>();
        Map<String, Integer> expected = new HashMap<>();
        for (KeyChange page : state.list(Keys.SNAPSHOT, null, 100_000)) {
            int slash = page.key().lastIndexOf('/');
            String shard = page.key().substring(0, slash);
            found.merge(shard, Integer.parseInt(page.key().substring(slash + 1)) + 1, Math::max);
            expected.put(shard, LogCodec.pageCountOf(page.value()));
        }
        assertFalse(found.equals(expected), "layout 1 would take it for whole");
    }

    /**
     * Back to the first layout once the fleet is small enough for it, however far the store had grown, and on again: read
     * alike at every moment, and in the end just as the first layout would have stored it.
     */
    @Test
    void theFirstLayoutIsRestoredWhenItIsActiveAgain() {
        fill();
        List<String> all = List.copyOf(leader.placedMachines());
        for (int i = 0; i < all.size(); i += MACHINES_IN_ENTRY) {
            remove(all.subList(i, Math.min(all.size(), i + MACHINES_IN_ENTRY)));
        }
        List<String> few = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            few.add(machine(i));
        }
        assertTrue(
                leader.log().snapshot().regionCount() > 4 * WorkLog.SHARDS,
                leader.log().snapshot().regionCount() + " regions");
        for (int i = 0; i < few.size(); i += MACHINES_IN_ENTRY) {
            write(few.subList(i, i + MACHINES_IN_ENTRY));
        }
        // Round the ring, so that the keys that the first layout uses hold entries of any age.
        for (int i = 4 * leader.log().snapshot().regionCount(); i > 0; i--) {
            write(List.of(few.get(random.nextInt(few.size()))));
        }
        activate(Layouts.FIRST);
        int steps = 0;
        while (!leader.isConverted()) {
            // Half of the time there is work meanwhile, half of the time the conversion goes on by itself.
            write(steps % 2 == 0 ? List.of(few.get(random.nextInt(few.size()))) : List.of());
            // At first entries are in keys that the first layout would use for others, and are still needed.
            if (++steps < 40 || steps % 25 == 0) {
                assertReadAlike("step " + steps);
            }
            assertTrue(steps < 5000, "not converted");
        }
        for (int i = 0; i < 3 * WorkLog.FIRST_CAPACITY; i++) {
            write(List.of(few.get(random.nextInt(few.size()))));
        }
        assertReadAlike("converted");
        assertTrue(full > 0, "the log was never full");
        for (KeyChange entry : state.list(Keys.LOG, null, 100_000)) {
            assertEquals(LogRingBuffer.firstLayoutKey(LogCodec.numberOf(entry.value())), entry.key());
        }
        for (KeyChange page : state.list(Keys.SNAPSHOT, null, 100_000)) {
            assertTrue(SnapshotIndex.bucketOf(page.key()).isRoot(), page.key());
        }
        activate(Layouts.SPLIT_SNAPSHOT);
        fill();
        assertReadAlike("on again");
        assertEquals(Layouts.SPLIT_SNAPSHOT, leader.layout());
        assertEquals(List.of(), state.oversized());
    }

    private void assertReadAlike(String when) {
        StateReplica fresh = new StateReplica();
        fresh.reset(state.list(Keys.MIRRORED, null, 100_000), state.revision());
        assertTrue(fresh.loaded(), when);
        assertEquals(seen(leader), seen(fresh), when);
    }

    private void remove(List<String> machines) {
        Map<String, MachineRecord> records = new LinkedHashMap<>();
        machines.forEach(id -> records.put(id, MachineRecord.NONE));
        commit(records);
    }

    /** What the program before stored, kept as the service would list it: read in full, and taken over by the second layout. */
    @Test
    void whatTheProgramBeforeStoredIsRead() throws IOException {
        Map<?, ?> kept;
        try (InputStream in = SplitSnapshotTest.class.getResourceAsStream("/layouts/first-layout.cbor")) {
            kept = Cbor.readMap(in.readAllBytes());
        }
        List<KeyChange> stored = new ArrayList<>();
        for (Object pair : (List<?>) kept.get("pairs")) {
            Map<?, ?> row = (Map<?, ?>) pair;
            stored.add(new KeyChange((String) row.get("key"), row.get("v"), ((Number) row.get("stamp")).longValue()));
        }
        StateReplica replica = new StateReplica();
        replica.reset(stored, ((Number) kept.get("ledger")).longValue());
        assertTrue(replica.loaded(), replica.unreadable());
        assertEquals(VersionRange.FIRST, replica.node("n0").layouts());
        Map<?, ?> expected = (Map<?, ?>) kept.get("expected");
        assertEquals(((Number) expected.get("sequence")).longValue(), replica.sequence());
        assertEquals(expected.get("placements"), placementsOf(replica));
        ((Map<?, ?>) expected.get("finished"))
                .forEach((job, finished) -> assertEquals(
                        finished, replica.job((String) job).finishedSet().toString()));

        Transaction everything = new Transaction();
        stored.forEach(c -> everything.put(c.key(), c.value()));
        everything.put(Keys.VERSION, Records.version(new ClusterVersion(Layouts.SPLIT_SNAPSHOT, Layouts.FIRST)));
        StateModel taken = new StateModel();
        taken.commit(everything);
        StateReplica follower = new StateReplica();
        follower.reset(taken.list(Keys.MIRRORED, null, 100_000), taken.revision());
        for (int i = 0; i < 3 * WorkLog.FIRST_CAPACITY; i++) {
            LogWriter log =
                    new LogWriter(follower, new LogWriter.Limits(VALUE_BYTES, OPS, Layouts.SPLIT_SNAPSHOT, false));
            Transaction transaction = new Transaction();
            log.write(
                    transaction,
                    Map.of("m-999999", new MachineRecord("a", List.of(), Map.of("img", (double) i))),
                    Map.of());
            assertEquals(200, taken.commit(transaction));
            follower.advance(taken.changes(Keys.MIRRORED, follower.revision()), taken.revision());
        }
        assertEquals(Layouts.SPLIT_SNAPSHOT, follower.layout());
        StateReplica fresh = new StateReplica();
        fresh.reset(taken.list(Keys.MIRRORED, null, 100_000), taken.revision());
        Map<String, List<String>> after = placementsOf(fresh);
        after.remove("m-999999");
        assertEquals(expected.get("placements"), after);
    }

    /** A bucket that a listing missed, since it was split while its pages were read, is a hole and not an empty fleet. */
    @Test
    void aListingWithoutOneOfTheBucketsIsTorn() {
        fill();
        List<KeyChange> all = state.list(Keys.MIRRORED, null, 100_000);
        List<KeyChange> buckets = all.stream()
                .filter(c -> c.key().startsWith(Keys.SNAPSHOT)
                        && !SnapshotIndex.bucketOf(c.key()).isRoot())
                .toList();
        assertTrue(buckets.size() > WorkLog.SHARDS, buckets.size() + " buckets");
        int inconsistent = 0;
        for (KeyChange missed : buckets) {
            StateReplica replica = new StateReplica();
            replica.reset(all.stream().filter(c -> c != missed).toList(), state.revision());
            // Where an older bucket above it is still stored, the entries since then are needed, and there or missing.
            boolean isBehind = replica.sequence() < leader.sequence();
            assertTrue(
                    replica.inconsistent() || isBehind || seen(replica).equals(seen(leader)),
                    "without " + missed.key());
            inconsistent += replica.inconsistent() ? 1 : 0;
        }
        assertTrue(inconsistent > WorkLog.SHARDS, "only " + inconsistent + " were torn");
    }

    private static Map<String, List<String>> placementsOf(StateReplica replica) {
        Map<String, List<String>> placements = new TreeMap<>();
        for (String machine : replica.placedMachines()) {
            placements.put(
                    machine,
                    replica.placements(machine).stream()
                            .map(p -> p.task() + " " + p.attempt() + " " + p.agentEpoch() + " " + p.stop())
                            .toList());
        }
        return placements;
    }
}

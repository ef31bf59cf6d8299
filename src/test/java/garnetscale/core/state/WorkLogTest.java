package garnetscale.core.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetscale.core.job.JobSpec;
import garnetscale.core.job.TaskId;
import garnetscale.core.job.TestJob;
import garnetscale.core.machine.Placement;
import garnetscale.emulator.StateModel;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Replicas updated from watches in steps of any size and replicas loaded in pages during writes contain the same state. */
class WorkLogTest {

    private static final int VALUE_BYTES = 16 * 1024;
    private static final int PAGE_KEYS = 20;
    private static final long SEED = 7;
    private static final int MAX_LISTINGS = 20;

    private final LogFixture log = new LogFixture(new StateModel(), SEED, job("wk-1"), job("wk-2"));
    private final Random random = log.random;
    private final StateReplica leader = log.leader;
    private long attempts;

    private static JobSpec job(String id) {
        return TestJob.named(id).tasks(10_000).imageGb(1).build();
    }

    /** Replaces the placements of a few machines and sometimes finishes a task. */
    private void write() {
        LogWriter writer = new LogWriter(leader, VALUE_BYTES);
        Map<String, MachineRecord> machines = new LinkedHashMap<>();
        for (int i = random.nextInt(4); i >= 0; i--) {
            String id = "m-" + random.nextInt(60);
            List<Placement> placements = new ArrayList<>();
            for (int n = random.nextInt(3); n > 0; n--) {
                attempts++;
                placements.add(new Placement(new TaskId("wk-1", (int) attempts), attempts, 1, Placement.Stop.KEEP));
            }
            machines.put(
                    id,
                    random.nextInt(9) == 0
                            ? MachineRecord.NONE
                            : new MachineRecord("a", placements, Map.of("img", 1.0)));
        }
        Map<String, BitSet> parts = new LinkedHashMap<>();
        if (random.nextInt(3) == 0) {
            int task = random.nextInt(9000);
            BitSet finished = leader.job("wk-2").finishedSet();
            finished.set(task);
            String part = WorkLog.partOf("wk-2", task);
            parts.put(part, WorkLog.bitsOf(finished, part));
        }
        Transaction transaction = new Transaction();
        writer.write(transaction, machines, parts);
        log.commit(transaction);
    }

    /** Lists in pages with writes between them, and repeats up to {@link #MAX_LISTINGS} times until a listing is consistent. */
    private StateReplica list() {
        for (int tries = 0; tries < MAX_LISTINGS; tries++) {
            StateReplica replica = log.listInPages(PAGE_KEYS, this::write);
            if (replica != null) {
                assertFalse(replica.isInconsistent());
                return replica;
            }
        }
        throw new AssertionError("no listing was consistent");
    }

    private static Map<String, Object> visibleState(StateReplica replica) {
        Map<String, Object> all = new TreeMap<>();
        replica.machinesWithRecords().forEach(id -> all.put(id, replica.placements(id)));
        all.put("placed", replica.job("wk-1").placedCount());
        all.put("finished", replica.job("wk-2").finishedSet());
        all.put("count", replica.job("wk-2").finishedCount());
        return all;
    }

    /**
     * Guards against a follower that skips entries when a watch response contains both entries and compactions. The sequence
     * number of a compaction once hid the entries before it in the same response, and one controller lost the placements of
     * all machines.
     */
    @Test
    void followersAndListersSeeTheSameState() {
        StateReplica follower = list();
        for (int round = 0; round < 40; round++) {
            for (int i = random.nextInt(40); i >= 0; i--) {
                write();
            }
            log.follow(follower);
            assertFalse(follower.isInconsistent());
            assertEquals(visibleState(leader), visibleState(follower), "follower in round " + round);
            StateReplica lister = list();
            assertEquals(visibleState(leader), visibleState(lister), "lister in round " + round);
            log.follow(follower);
        }
        assertTrue(leader.sequence() > 4 * WorkLog.FIRST_CAPACITY, "only " + leader.sequence() + " entries");
        assertTrue(log.list(Keys.LOG).size() <= WorkLog.FIRST_CAPACITY);
    }

    /** A follower that receives only the newest entry must detect that earlier ones are missing. */
    @Test
    void missingEntriesAreDetected() {
        StateReplica follower = list();
        long from = follower.revision();
        write();
        write();
        List<KeyChange> changes = log.state.changes(Keys.REPLICATED, from);
        follower.advance(changes.subList(changes.size() - 1, changes.size()), log.state.revision());
        assertTrue(follower.isInconsistent());
    }

    /** Pages with the largest records that the limits allow stay within the size of a value. */
    @Test
    void pagesStayBelowTheLimits() {
        WorkLog.Contents shard = new WorkLog.Contents(1, new LinkedHashMap<>(), new LinkedHashMap<>());
        for (int machine = 0; machine < 40; machine++) {
            List<Placement> placed = new ArrayList<>();
            for (int i = 0; i < 16; i++) {
                placed.add(
                        new Placement(new TaskId("wk-000412", 12_345), Long.MAX_VALUE >> 2, 123, Placement.Stop.KEEP));
            }
            shard.machines()
                    .put(
                            "m-" + (100_000 + machine),
                            new MachineRecord("istanbul-kiralik", placed, Map.of("img-07", 3.4812345)));
        }
        BitSet full = new BitSet();
        full.set(0, WorkLog.TASKS_PER_PART);
        for (int i = 0; i < 49; i++) {
            shard.parts().put("wk-000412/" + i, full);
        }
        List<WorkLog.Contents> pages = LogSizes.pages(shard, VALUE_BYTES * 15 / 16);
        assertTrue(pages.size() > 2);
        for (WorkLog.Contents page : pages) {
            int bytes = jsonBytes(LogCodec.encodePage(page, pages.size()));
            assertTrue(bytes <= VALUE_BYTES, bytes + " bytes");
        }
    }

    /** Returns the size in bytes of a value in JSON, as the protocol counts it. */
    private static int jsonBytes(Object value) {
        if (value instanceof Map<?, ?> map) {
            return 2
                    + map.entrySet().stream()
                            .mapToInt(field -> jsonBytes(field.getKey()) + 2 + jsonBytes(field.getValue()))
                            .sum();
        }
        if (value instanceof List<?> list) {
            return 2 + list.stream().mapToInt(element -> jsonBytes(element) + 1).sum();
        }
        return value instanceof String text
                ? LogSizes.text(text)
                : String.valueOf(value).length();
    }
}

package garnetscale.core.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetscale.core.job.JobRecord;
import garnetscale.core.job.JobSpec;
import garnetscale.core.job.JobState;
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

/** Whoever follows the store in any steps, and whoever lists it in pages while it changes, sees the same work. */
class WorkLogTest {

    private static final int VALUE_BYTES = 16 * 1024;
    private static final int PAGE = 20;

    private final StateModel state = new StateModel();
    private final Random random = new Random(7);
    private final StateReplica leader = new StateReplica();
    private long attempts;

    private static JobSpec job(String id, int tasks) {
        return TestJob.named(id).tasks(tasks).imageGb(1).build();
    }

    /** Replaces what is placed on a few machines and finishes a task here and there. */
    private void write() {
        LogWriter log = new LogWriter(leader, VALUE_BYTES);
        Map<String, MachineRecord> machines = new LinkedHashMap<>();
        for (int i = random.nextInt(4); i >= 0; i--) {
            String id = "m-" + random.nextInt(60);
            List<Placement> placed = new ArrayList<>();
            for (int n = random.nextInt(3); n > 0; n--) {
                attempts++;
                placed.add(new Placement(new TaskId("wk-1", (int) attempts), attempts, 1, Placement.Stop.KEEP));
            }
            machines.put(
                    id,
                    random.nextInt(9) == 0 ? MachineRecord.NONE : new MachineRecord("a", placed, Map.of("img", 1.0)));
        }
        Map<String, BitSet> parts = new LinkedHashMap<>();
        if (random.nextInt(3) == 0) {
            int task = random.nextInt(9000);
            BitSet all = leader.job("wk-2").finishedSet();
            all.set(task);
            String part = WorkLog.partOf("wk-2", task);
            parts.put(part, WorkLog.bitsOf(all, part));
        }
        Transaction transaction = new Transaction();
        log.write(transaction, machines, parts);
        assertEquals(200, state.commit(transaction));
        follow(leader);
    }

    private void follow(StateReplica m) {
        m.advance(state.changes(Keys.MIRRORED, m.revision()), state.revision());
    }

    /** Lists in pages, with the store going on between them, as long as it takes to get a listing that holds together. */
    private StateReplica list() {
        for (int tries = 0; tries < 20; tries++) {
            List<KeyChange> all = new ArrayList<>();
            long first = state.revision();
            String since = null;
            List<KeyChange> page;
            do {
                page = state.list(Keys.MIRRORED, since, PAGE);
                all.addAll(page);
                since = page.isEmpty() ? null : page.get(page.size() - 1).key();
                for (int i = random.nextInt(3); i > 0; i--) {
                    write();
                }
            } while (page.size() == PAGE);
            StateReplica m = new StateReplica();
            m.reset(all, first);
            if (m.loaded()) {
                follow(m);
                assertFalse(m.inconsistent());
                return m;
            }
        }
        throw new AssertionError("no listing held together");
    }

    private static Map<String, Object> seen(StateReplica m) {
        Map<String, Object> all = new TreeMap<>();
        m.placedMachines().forEach(id -> all.put(id, m.placements(id)));
        all.put("placed", m.job("wk-1").placedCount());
        all.put("finished", m.job("wk-2").finishedSet());
        all.put("count", m.job("wk-2").finishedCount());
        return all;
    }

    /**
     * The follower takes many entries at once, with folds among them: a fold's number once hid the entries that came in
     * the same answer and before it, and a whole fleet's placements were lost on one node.
     */
    @Test
    void followersAndListersSeeTheSame() {
        for (int i = 1; i <= 2; i++) {
            String id = "wk-" + i;
            state.commit(
                    new Transaction().put(Keys.job(id), Records.job(new JobRecord(job(id, 10_000), JobState.LIVE, 0))));
        }
        leader.reset(state.list(Keys.MIRRORED, null, 1000), state.revision());
        StateReplica follower = list();
        for (int round = 0; round < 40; round++) {
            for (int i = random.nextInt(40); i >= 0; i--) {
                write();
            }
            follow(follower);
            assertFalse(follower.inconsistent());
            assertEquals(seen(leader), seen(follower), "follower in round " + round);
            StateReplica lister = list();
            assertEquals(seen(leader), seen(lister), "lister in round " + round);
            follow(follower);
        }
        assertTrue(leader.sequence() > 4 * WorkLog.FIRST_CAPACITY, "only " + leader.sequence() + " entries");
        assertTrue(state.list(Keys.LOG, null, 1000).size() <= WorkLog.FIRST_CAPACITY);
    }

    /** A follower that the answer brings only a slot's newest entry has to notice that it lost the others. */
    @Test
    void lostEntriesAreNoticed() {
        state.commit(new Transaction()
                .put(Keys.job("wk-1"), Records.job(new JobRecord(job("wk-1", 10_000), JobState.LIVE, 0)))
                .put(Keys.job("wk-2"), Records.job(new JobRecord(job("wk-2", 10_000), JobState.LIVE, 0))));
        leader.reset(state.list(Keys.MIRRORED, null, 1000), state.revision());
        StateReplica follower = list();
        long from = follower.revision();
        write();
        write();
        List<KeyChange> log = state.changes(Keys.MIRRORED, from);
        follower.advance(log.subList(log.size() - 1, log.size()), state.revision());
        assertTrue(follower.inconsistent());
    }

    /** The largest records that the limits allow still make values and transactions that the service takes. */
    @Test
    void pagesStayBelowTheLimits() {
        WorkLog.Contents shard = new WorkLog.Contents(1, new LinkedHashMap<>(), new LinkedHashMap<>());
        for (int m = 0; m < 40; m++) {
            List<Placement> placed = new ArrayList<>();
            for (int i = 0; i < 16; i++) {
                placed.add(
                        new Placement(new TaskId("wk-000412", 12_345), Long.MAX_VALUE >> 2, 123, Placement.Stop.KEEP));
            }
            shard.machines()
                    .put(
                            "m-" + (100_000 + m),
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
            int bytes = json(LogCodec.encodePage(page, pages.size()));
            assertTrue(bytes <= VALUE_BYTES, bytes + " bytes");
        }
    }

    /** Bytes of a value in JSON, as the protocol counts. */
    private static int json(Object value) {
        if (value instanceof Map<?, ?> m) {
            return 2
                    + m.entrySet().stream()
                            .mapToInt(e -> json(e.getKey()) + 2 + json(e.getValue()))
                            .sum();
        }
        if (value instanceof List<?> l) {
            return 2 + l.stream().mapToInt(v -> json(v) + 1).sum();
        }
        return value instanceof String s
                ? LogSizes.text(s)
                : String.valueOf(value).length();
    }
}

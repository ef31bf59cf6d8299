package garnetscale.core.state;

import garnetscale.ExpectedEncodings;
import garnetscale.core.job.TaskId;
import garnetscale.core.job.TestJob;
import garnetscale.core.machine.Placement;
import garnetscale.emulator.StateModel;
import garnetscale.wire.StateCodec;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Compares the transactions of the log writer with kept ones, entry by entry, for a small deterministic store. */
class StoredLogTest {

    private static final ExpectedEncodings EXPECTED = new ExpectedEncodings("log.txt");
    private static final int VALUE_BYTES = 16 * 1024;
    private static final int OPS = 24;
    private static final int MACHINES = 40;
    private static final String JOB = "wk-1";
    private static final int TASKS = 10_000;
    /** Enough to overwrite the whole ring buffer and compact every shard. */
    private static final int ENTRIES = WorkLog.FIRST_CAPACITY + WorkLog.SHARDS;
    /** The first entry with which a compaction is due, counted from 0. */
    private static final int FIRST_COMPACTION = WorkLog.FIRST_CAPACITY / 2;

    /** This test uses no random numbers. */
    private static final long ANY_SEED = 0;

    private final LogFixture log = new LogFixture(
            new StateModel(), ANY_SEED, TestJob.named(JOB).tasks(TASKS).build());
    private final StateReplica replica = log.leader;
    private final List<Transaction> written = new ArrayList<>();

    /** Replaces the placements of one machine with a single attempt, and finishes a task. */
    private void write(LogWriter.Limits limits) {
        int number = written.size();
        LogWriter writer = new LogWriter(replica, limits);
        Placement placement = new Placement(new TaskId(JOB, number), number, 1, Placement.Stop.KEEP);
        MachineRecord machine = new MachineRecord("a", List.of(placement), Map.of("img", 1.0));
        int task = number * 37;
        BitSet finished = replica.job(JOB).finishedSet();
        finished.set(task);
        String part = WorkLog.partOf(JOB, task);
        Map<String, MachineRecord> machines = new LinkedHashMap<>();
        machines.put("m-" + number % MACHINES, machine);
        Transaction transaction = new Transaction();
        writer.write(transaction, machines, Map.of(part, WorkLog.bitsOf(finished, part)));
        log.commit(transaction);
        written.add(transaction);
    }

    private void write(int entries, int layout, boolean forcesSplit) {
        for (int i = 0; i < entries; i++) {
            write(new LogWriter.Limits(VALUE_BYTES, OPS, layout, forcesSplit));
        }
    }

    private void check(String name, int number) {
        EXPECTED.checkTree(name, StateCodec.tree(written.get(number)));
    }

    /** Checks the keys that each transaction puts and deletes; deletes are marked with a minus sign. */
    private void checkKeys(String name, int from) {
        List<Object> keys = new ArrayList<>();
        for (Transaction transaction : written.subList(from, written.size())) {
            keys.add(transaction.ops().stream()
                    .map(op -> (op.value() == null ? "-" : "") + op.key())
                    .toList());
        }
        EXPECTED.checkTree(name, keys);
    }

    @Test
    void firstLayout() {
        write(ENTRIES, Layouts.FIRST, false);
        check("layout 1 first entry", 0);
        check("layout 1 second entry", 1);
        check("layout 1 first fold", FIRST_COMPACTION);
        check("layout 1 last entry", ENTRIES - 1);
        checkKeys("layout 1 keys", 0);
    }

    @Test
    void splitSnapshot() {
        write(FIRST_COMPACTION, Layouts.FIRST, false);
        log.activate(Layouts.SPLIT_SNAPSHOT);
        write(1, Layouts.SPLIT_SNAPSHOT, true);
        check("layout 2 first split", FIRST_COMPACTION);
        write(ENTRIES, Layouts.SPLIT_SNAPSHOT, true);
        check("layout 2 entry after the split", FIRST_COMPACTION + 1);
        check("layout 2 last entry", written.size() - 1);
        checkKeys("layout 2 keys", FIRST_COMPACTION);
    }

    @Test
    void backToTheFirstLayout() {
        log.activate(Layouts.SPLIT_SNAPSHOT);
        write(ENTRIES, Layouts.SPLIT_SNAPSHOT, true);
        log.activate(Layouts.FIRST);
        write(1, Layouts.FIRST, false);
        check("conversion to layout 1", ENTRIES);
        write(WorkLog.SHARDS, Layouts.FIRST, false);
        checkKeys("conversion to layout 1 keys", ENTRIES);
    }
}

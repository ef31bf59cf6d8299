package garnetscale.core.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetscale.core.job.TaskId;
import garnetscale.core.job.TestJob;
import garnetscale.core.machine.Placement;
import garnetscale.emulator.StateLimits;
import garnetscale.emulator.StateModel;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/** A store with the service's limits, in which a leader writes the records of up to four thousand machines. */
final class LargeClusterFixture {

    static final int VALUE_BYTES = 16 * 1024;
    static final int OPS = 24;
    private static final int TRANSACTION_BYTES = 64 * 1024;
    /** Machines in all, and placements on each: a shard takes 120 KB, twice what a transaction may hold. */
    static final int MACHINES = 4000;

    private static final int PLACEMENTS = 14;
    static final int MACHINES_IN_ENTRY = 12;
    private static final int PAGE_KEYS = 40;
    private static final long SEED = 11;
    private static final String JOB = "wk-1";
    private static final int TASKS = 100_000;

    private final LogFixture log = new LogFixture(
            new StateModel(new StateLimits(VALUE_BYTES, OPS, TRANSACTION_BYTES)),
            SEED,
            TestJob.named(JOB).tasks(TASKS).build());
    final StateModel state = log.state;
    final Random random = log.random;
    final StateReplica leader = log.leader;
    private long attempts;
    /** Transactions that could only compact. */
    private int fullCount;

    /** Empty, with the second layout active. */
    LargeClusterFixture() {
        activate(Layouts.SPLIT_SNAPSHOT);
    }

    void activate(int version) {
        log.activate(version);
    }

    static String machine(int number) {
        return "m-" + (100_000 + number);
    }

    /** How many transactions could only compact, since the log was full. */
    int fullCount() {
        return fullCount;
    }

    /** Writes an entry with new records of some machines, and whatever is due to be compacted. */
    void write(List<String> machines) {
        Map<String, MachineRecord> records = new LinkedHashMap<>();
        for (String id : machines) {
            List<Placement> placements = new ArrayList<>();
            for (int n = 0; n < PLACEMENTS; n++) {
                attempts++;
                placements.add(new Placement(
                        new TaskId(JOB, (int) (attempts % TASKS)), 1L << 40 | attempts, 1, Placement.Stop.KEEP));
            }
            records.put(id, new MachineRecord("zone", placements, Map.of("img-07", 3.5, "img-11", 0.25)));
        }
        commit(records);
    }

    /** Writes new records of a few machines drawn by lot. */
    void writeAny() {
        List<String> machines = new ArrayList<>();
        for (int i = random.nextInt(MACHINES_IN_ENTRY); i >= 0; i--) {
            machines.add(machine(random.nextInt(MACHINES)));
        }
        write(machines.stream().distinct().toList());
    }

    /** Fills the cluster from nothing, a few machines an entry. */
    void fill() {
        for (int i = 0; i < MACHINES; i += MACHINES_IN_ENTRY) {
            write(machinesOfEntry(i));
        }
    }

    /** The machines from a number on that go into one entry. */
    static List<String> machinesOfEntry(int first) {
        List<String> machines = new ArrayList<>();
        for (int k = first; k < Math.min(MACHINES, first + MACHINES_IN_ENTRY); k++) {
            machines.add(machine(k));
        }
        return machines;
    }

    void remove(List<String> machines) {
        Map<String, MachineRecord> records = new LinkedHashMap<>();
        machines.forEach(id -> records.put(id, MachineRecord.NONE));
        commit(records);
    }

    /** Commits an entry with these records and a task that is finished. */
    private void commit(Map<String, MachineRecord> records) {
        LogWriter writer = new LogWriter(
                leader, new LogWriter.Limits(VALUE_BYTES, OPS, leader.version().active(), false));
        int task = random.nextInt(TASKS);
        BitSet finished = leader.job(JOB).finishedSet();
        finished.set(task);
        String part = WorkLog.partOf(JOB, task);
        Transaction transaction = new Transaction();
        boolean isFull = !writer.fits(0);
        fullCount += isFull ? 1 : 0;
        writer.write(transaction, isFull ? Map.of() : records, Map.of(part, WorkLog.bitsOf(finished, part)));
        log.commit(transaction);
    }

    /** Every key under a prefix, as of one moment. */
    List<KeyChange> list(String prefix) {
        return log.list(prefix);
    }

    void follow(StateReplica replica) {
        log.follow(replica);
    }

    /** A new replica that lists everything as of one moment. */
    StateReplica listAtOnce() {
        return log.listAtOnce();
    }

    /** Lists in pages, with the store going on between them; null when what was read is inconsistent. */
    StateReplica listInPages() {
        return log.listInPages(PAGE_KEYS, this::writeAny);
    }

    /** What a replica shows of machines and finished tasks. */
    static Map<String, Object> seen(StateReplica replica) {
        Map<String, Object> all = new TreeMap<>();
        replica.placedMachines().forEach(id -> all.put(id, replica.placements(id)));
        all.put("finished", replica.job(JOB).finishedSet());
        return all;
    }

    /** Whoever lists now has to see what the leader sees. */
    void assertReadAlike(String when) {
        StateReplica fresh = listAtOnce();
        assertTrue(fresh.isLoaded(), when);
        assertEquals(seen(leader), seen(fresh), when);
    }
}

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

/** A store with the limits of the state service, to which a leader writes the records of up to 4,000 machines. */
final class LargeClusterFixture {

    static final int VALUE_BYTES = 16 * 1024;
    static final int OPS = 24;
    private static final int TRANSACTION_BYTES = 64 * 1024;
    /** With {@link #PLACEMENTS} placements on each of these machines, a shard takes 120 KB, twice the size of a transaction. */
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
    /** Number of transactions that could only compact, because the log was full. */
    private int fullCount;

    /** Creates an empty store with the second layout active. */
    LargeClusterFixture() {
        activate(Layouts.SPLIT_SNAPSHOT);
    }

    void activate(int version) {
        log.activate(version);
    }

    static String machine(int number) {
        return "m-" + (100_000 + number);
    }

    /** Returns the number of transactions that could only compact, because the log was full. */
    int fullCount() {
        return fullCount;
    }

    /** Writes an entry with new records of some machines, and the compaction that is due, if any. */
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

    /** Writes new records of a few random machines. */
    void writeRandomMachines() {
        List<String> machines = new ArrayList<>();
        for (int i = random.nextInt(MACHINES_IN_ENTRY); i >= 0; i--) {
            machines.add(machine(random.nextInt(MACHINES)));
        }
        write(machines.stream().distinct().toList());
    }

    /** Writes the records of all machines, a few machines per entry. */
    void fill() {
        for (int i = 0; i < MACHINES; i += MACHINES_IN_ENTRY) {
            write(machinesOfEntry(i));
        }
    }

    /** Returns the machines, from number {@code first} on, whose records go into one entry. */
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

    /** Commits an entry with these records and one finished task, or only a compaction if the log is full. */
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

    /** Returns every key under a prefix, as of one revision. */
    List<KeyChange> list(String prefix) {
        return log.list(prefix);
    }

    void follow(StateReplica replica) {
        log.follow(replica);
    }

    /** Returns a new replica, loaded from a listing as of one revision. */
    StateReplica listAtOnce() {
        return log.listAtOnce();
    }

    /** Returns a new replica, loaded from pages with writes between them, or null if the listing was inconsistent. */
    StateReplica listInPages() {
        return log.listInPages(PAGE_KEYS, this::writeRandomMachines);
    }

    /** Returns the placements and finished tasks in a replica. */
    static Map<String, Object> visibleState(StateReplica replica) {
        Map<String, Object> all = new TreeMap<>();
        replica.machinesWithRecords().forEach(id -> all.put(id, replica.placements(id)));
        all.put("finished", replica.job(JOB).finishedSet());
        return all;
    }

    /** Asserts that a newly loaded replica contains the same state as the leader's. */
    void assertNewReplicaMatchesLeader(String when) {
        StateReplica fresh = listAtOnce();
        assertTrue(fresh.isLoaded(), when);
        assertEquals(visibleState(leader), visibleState(fresh), when);
    }
}

package garnetscale.core.state;

import static org.junit.jupiter.api.Assertions.assertEquals;

import garnetscale.ExpectedEncodings;
import garnetscale.core.cluster.ControllerInfo;
import garnetscale.core.cluster.LeaderInfo;
import garnetscale.core.cluster.PartitionLease;
import garnetscale.core.job.JobRecord;
import garnetscale.core.job.JobSpec;
import garnetscale.core.job.JobState;
import garnetscale.core.job.Priority;
import garnetscale.core.job.TaskId;
import garnetscale.core.machine.MachineType;
import garnetscale.core.machine.Placement;
import garnetscale.core.upgrade.ClusterVersion;
import garnetscale.core.upgrade.VersionRange;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Checks the exact keys and values of every record in the state service, and that every value decodes to the original. */
class StoredFormsTest {

    private static final ExpectedEncodings EXPECTED = new ExpectedEncodings("stored.txt");
    private static final String JOB = "wk-000412";
    private static final long ATTEMPT = 1L << 40;

    /** The flags of the two jobs differ so that a codec that mixes up any two flags fails. */
    private static JobSpec fullJob(Priority priority) {
        return new JobSpec(
                JOB,
                "train",
                "red",
                priority,
                16,
                8,
                1,
                64,
                List.of("g8", "c4"),
                "a",
                true,
                false,
                true,
                "img-07",
                6.2,
                240,
                30,
                4,
                900.0);
    }

    private static JobSpec minimalJob() {
        return new JobSpec(
                JOB,
                "train",
                "red",
                Priority.LOW,
                1,
                0,
                0,
                0.5,
                null,
                null,
                false,
                true,
                true,
                "img",
                0,
                1,
                0,
                0,
                null);
    }

    private static Placement placement(Placement.Stop stop) {
        return new Placement(new TaskId(JOB, 3), ATTEMPT, 2, stop);
    }

    private static List<Placement> placements() {
        return Arrays.stream(Placement.Stop.values())
                .map(StoredFormsTest::placement)
                .toList();
    }

    private static Map<String, Double> images() {
        Map<String, Double> images = new LinkedHashMap<>();
        images.put("img-11", 0.25);
        images.put("img-07", 3.0);
        return images;
    }

    private static BitSet bits(int... set) {
        BitSet bits = new BitSet();
        Arrays.stream(set).forEach(bits::set);
        return bits;
    }

    @Test
    void keys() {
        EXPECTED.checkTree(
                "keys",
                List.of(
                        Keys.REPLICATED,
                        Keys.LEADER,
                        Keys.TERM,
                        Keys.TYPES,
                        Keys.VERSION,
                        Keys.LOG,
                        Keys.SNAPSHOT,
                        Keys.job(JOB),
                        Keys.terminalJob(JOB),
                        Keys.partition("a/0"),
                        Keys.controller("n-0")));
        assertEquals(JOB, Keys.terminalJobOfKey(Keys.terminalJob(JOB)));
    }

    @Test
    void jobWithAllFields() {
        JobRecord job = new JobRecord(fullJob(Priority.HIGH), JobState.LIVE, 1_700_000_000_123L);
        EXPECTED.checkTree("job full", Records.job(job));
        assertEquals(job, Records.job(JOB, Records.job(job)));
    }

    @Test
    void jobWithoutOptionalFields() {
        JobRecord job = new JobRecord(minimalJob(), JobState.LIVE, 0);
        EXPECTED.checkTree("job minimal", Records.job(job));
        assertEquals(job, Records.job(JOB, Records.job(job)));
    }

    @Test
    void jobStatesAndPriorities() {
        List<Object> names = new ArrayList<>();
        for (JobState state : JobState.values()) {
            names.add(Records.job(new JobRecord(minimalJob(), state, 0)).get("s"));
        }
        for (Priority priority : Priority.values()) {
            names.add(Records.job(new JobRecord(fullJob(priority), JobState.LIVE, 0))
                    .get("pri"));
        }
        EXPECTED.checkTree("job states and priorities", names);
    }

    @Test
    void terminalJob() {
        Records.TerminalJob terminalJob = new Records.TerminalJob(JobState.CANCELLED, 16, 3, "red");
        EXPECTED.checkTree("archived job", Records.terminalJob(terminalJob));
        assertEquals(terminalJob, Records.terminalJob((Object) Records.terminalJob(terminalJob)));
    }

    @Test
    void machine() {
        MachineRecord machine = new MachineRecord("a", placements(), images());
        EXPECTED.checkTree("machine", LogCodec.encodeMachine(machine));
        assertEquals(machine, LogCodec.decodeMachine(LogCodec.encodeMachine(machine)));
        EXPECTED.checkTree("machine empty", LogCodec.encodeMachine(new MachineRecord("a", List.of(), Map.of())));
    }

    @Test
    void machineChange() {
        Delta change = new Delta("a", Set.of(ATTEMPT), Map.of(ATTEMPT + 1, Placement.Stop.NOW), placements(), images());
        EXPECTED.checkTree("change full", LogCodec.encodeDelta(change));
        assertEquals(change, LogCodec.decodeDelta(LogCodec.encodeDelta(change)));
        EXPECTED.checkTree(
                "change of the zone alone", LogCodec.encodeDelta(new Delta("a", Set.of(), Map.of(), List.of(), null)));
        EXPECTED.checkTree(
                "change that removes the images",
                LogCodec.encodeDelta(new Delta("a", Set.of(), Map.of(), List.of(), Map.of())));
        EXPECTED.checkTree(
                "change that removes the record",
                LogCodec.encodeDelta(new Delta(null, Set.of(), Map.of(), List.of(), null)));
    }

    @Test
    void finishedSet() {
        EXPECTED.check("finished set", LogCodec.encodeFinished(bits(0, 9, 2047)));
        EXPECTED.check("finished set empty", LogCodec.encodeFinished(bits()));
        assertEquals(bits(0, 9, 2047), LogCodec.decodeFinished(LogCodec.encodeFinished(bits(0, 9, 2047))));
    }

    @Test
    void partitionLease() {
        PartitionLease lease = new PartitionLease("n-0", 7, 1_048_577);
        EXPECTED.checkTree("block lease", Records.partition(lease));
        assertEquals(lease, Records.partition((Object) Records.partition(lease)));
    }

    @Test
    void controller() {
        ControllerInfo node = new ControllerInfo("n-0", 7, "a", new VersionRange(1, 2));
        EXPECTED.checkTree("node", Records.controller(node));
        assertEquals(node, Records.controller("n-0", Records.controller(node)));
    }

    @Test
    void leader() {
        LeaderInfo leader = new LeaderInfo("n-0", 7, 3);
        EXPECTED.checkTree("leader", Records.leader(leader));
        assertEquals(leader, Records.leader((Object) Records.leader(leader)));
    }

    @Test
    void versionAndTerm() {
        ClusterVersion version = new ClusterVersion(2, 1);
        EXPECTED.checkTree("version", Records.version(version));
        assertEquals(version, Records.version((Object) Records.version(version)));
        EXPECTED.checkTree("term", Records.term(3));
        assertEquals(3, Records.term((Object) Records.term(3)));
    }

    @Test
    void machineTypes() {
        List<MachineType> types = List.of(
                new MachineType("g8", 96, 8, 768, 200, 1.5, 12, 4.5, 45, List.of("a", "b")),
                new MachineType("c4", 4, 0, 16, 50, 1, 0.5, 0.5, 30, List.of()));
        EXPECTED.checkTree("machine types", Records.types(types));
        assertEquals(types, Records.types((Object) Records.types(types)));
    }

    @Test
    void logEntry() {
        Map<String, Delta> changes = Map.of(
                "m-1",
                new Delta("a", Set.of(ATTEMPT), Map.of(), List.of(), null),
                "m-2",
                Delta.between(new MachineRecord("a", placements(), images()), MachineRecord.NONE));
        Map<String, BitSet> parts = Map.of(WorkLog.partOf(JOB, 2050), bits(2));
        EXPECTED.checkTree("log entry", LogCodec.encodeEntry(new WorkLog.Entry(5, 4, changes, parts)));
        WorkLog.Entry afterGap = new WorkLog.Entry(6, 4, changes, parts);
        EXPECTED.checkTree("log entry after a gap", LogCodec.encodeEntry(afterGap));
        assertEquals(afterGap, LogCodec.decodeEntry(LogCodec.encodeEntry(afterGap)));
    }

    @Test
    void snapshotPage() {
        WorkLog.Contents page = new WorkLog.Contents(
                5, Map.of("m-1", new MachineRecord("a", placements(), images())), Map.of(JOB + "/1", bits(2)));
        EXPECTED.checkTree("base page", LogCodec.encodePage(page, 3));
        assertEquals(page, LogCodec.decodePage(LogCodec.encodePage(page, 3)));
    }

    @Test
    void bucketKeys() {
        Bucket root = Bucket.root(31);
        EXPECTED.checkTree(
                "bucket keys",
                List.of(
                        root.key(),
                        WorkLog.pageKey(31, 2),
                        root.child(0).key(),
                        root.child(1).key(),
                        root.child(1).child(0).key(),
                        root.child(1).child(1).key()));
        assertEquals(
                root.child(1).child(1),
                SnapshotIndex.bucketOf(root.child(1).child(1).key()));
    }

    /** Pins the hashes and shards of machines and parts of finished sets: another hash would look them up under other keys. */
    @Test
    void bucketHashes() {
        int machine = Bucket.hashOfMachine("m-000231");
        int otherMachine = Bucket.hashOfMachine("machine");
        int part = Bucket.hashOfPart(WorkLog.partOf(JOB, 2048));
        EXPECTED.checkTree(
                "bucket hashes and shards",
                List.of(
                        machine,
                        otherMachine,
                        part,
                        Bucket.shardOf(machine),
                        Bucket.shardOf(otherMachine),
                        Bucket.shardOf(part)));
    }
}

package garnetscale.core.autoscaling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.TestConfig;
import garnetscale.core.job.JobRecord;
import garnetscale.core.job.JobSpec;
import garnetscale.core.job.JobState;
import garnetscale.core.job.TaskId;
import garnetscale.core.job.TestJob;
import garnetscale.core.machine.MachineType;
import garnetscale.core.machine.Placement;
import garnetscale.core.partition.MachineStatus;
import garnetscale.core.state.Keys;
import garnetscale.core.state.LogWriter;
import garnetscale.core.state.MachineRecord;
import garnetscale.core.state.Records;
import garnetscale.core.state.StateReplica;
import garnetscale.core.state.Transaction;
import garnetscale.emulator.StateModel;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Calls to the cloud when many machines are silent at once or have been evicted. */
class AutoscalerTest {

    private static final int MACHINES = 20;
    private static final long LAG = 3000;
    private static final List<MachineType> TYPES =
            List.of(new MachineType("t", 32, 0, 128, 30, 1, 1, 0.5, 40, List.of("a")));

    private final StateReplica replica = new StateReplica();
    private final StateModel state = new StateModel();
    private final Autoscaler autoscaler = new Autoscaler(
            TestConfig.large()
                    .controllers(List.of())
                    .teams(new SchedulerConfig.Team("red", 0, Double.POSITIVE_INFINITY, 0, Double.POSITIVE_INFINITY))
                    .listLagMs(LAG)
                    .build(),
            replica,
            line -> {});

    private AutoscalerTest() {
        Map<String, MachineRecord> records = new LinkedHashMap<>();
        for (int i = 0; i < MACHINES; i++) {
            records.put(
                    id(i),
                    new MachineRecord(
                            "a",
                            List.of(new Placement(new TaskId("wk-1", i), i + 1, 1, Placement.Stop.KEEP)),
                            Map.of()));
        }
        replica.reset(List.of(), 0);
        Transaction transaction = new Transaction();
        new LogWriter(replica, 16384).write(transaction, records, Map.of());
        state.commit(transaction);
        replica.advance(state.changes("", 0), state.revision());
        autoscaler.start(0, 1);
        autoscaler.onTypes(TYPES);
    }

    /** Submits a job that needs more capacity than all machines together have. */
    private void submitLargeJob() {
        JobSpec job = TestJob.named("wk-2")
                .tasks(5000)
                .cpus(8)
                .imageGb(1)
                .estimateS(60)
                .build();
        long before = state.revision();
        state.commit(new Transaction()
                .put(Keys.TYPES, Records.types(TYPES))
                .put(Keys.job("wk-2"), Records.job(new JobRecord(job, JobState.LIVE, 0))));
        replica.advance(state.changes("", before), state.revision());
    }

    private static String id(int machine) {
        return "m-0000" + (10 + machine);
    }

    /** Passes the autoscaler a complete instance list with the machines from number {@code first} on. */
    private void passInstanceList(long now, int first) {
        for (int calls = 0;
                calls < 2 && !(autoscaler.next(now, List.of(), List.of(), Set.of()) instanceof CloudCall.ListInstances);
                calls++) {
            // The first call lists the types.
        }
        List<CloudInstance> page = new ArrayList<>();
        for (int i = first; i < MACHINES; i++) {
            page.add(new CloudInstance(id(i), "", "t", "a", true, CloudInstance.State.RUNNING, 100));
        }
        autoscaler.onPage(now, page, false);
    }

    /** Returns the machines that are deleted at {@code now} if all machines are silent. */
    private List<String> deletedMachines(long now) {
        List<MachineStatus> silent = new ArrayList<>();
        for (int i = 0; i < MACHINES; i++) {
            silent.add(new MachineStatus(
                    "n0", 1, "a/0", 1, id(i), "", "t", "a", true, 1, null, true, List.of(), List.of()));
        }
        List<String> ids = new ArrayList<>();
        for (int calls = 0; calls < 4; calls++) {
            if (autoscaler.next(now, silent, List.of(), Set.of()) instanceof CloudCall.ScaleIn scaleIn) {
                ids.addAll(scaleIn.machines());
                autoscaler.onDeleted(scaleIn.machines());
            }
        }
        return ids;
    }

    /**
     * Guards against slow recovery from a wave of evictions: after a failover of the partition owner, the tasks of evicted
     * machines had to wait for the whole fencing delay.
     */
    @Test
    void silentMachinesThatLeftTheListAreDeletedAtOnce() {
        passInstanceList(1000, 0);
        passInstanceList(10_000, 8);
        assertEquals(List.of(), deletedMachines(10_000 + LAG - 1), "a list may be older than the previous one");
        assertEquals(8, deletedMachines(10_000 + LAG + 1).size());
    }

    /** Many listed machines that are silent at once point to a network partition. */
    @Test
    void manySilentMachinesThatAreListedAreNotDeleted() {
        passInstanceList(1000, 0);
        assertEquals(List.of(), deletedMachines(20_000));
    }

    /** A new leader uses only lists that it has read itself, and waits until they must be younger than its term. */
    @Test
    void newLeaderDeletesMachinesThatItNeverSawListed() {
        passInstanceList(1000, 5);
        assertEquals(List.of(), deletedMachines(4 * LAG - 1));
        assertEquals(5, deletedMachines(4 * LAG + 1).size());
        assertFalse(deletedMachines(4 * LAG + 2).contains(id(0)), "a machine is deleted only once");
    }

    /**
     * Guards against deletes that hold up launches: after a wave of evictions, every call for half a minute was a delete, and
     * nothing was launched meanwhile.
     */
    @Test
    void launchesAlternateWithDeletes() {
        passInstanceList(1000, 0);
        passInstanceList(10_000, 8);
        submitLargeJob();
        long now = 10_000 + LAG + 1;
        assertInstanceOf(CloudCall.ScaleIn.class, nextChange(now));
        assertInstanceOf(CloudCall.ScaleOut.class, nextChange(now + 500));
        assertInstanceOf(CloudCall.ScaleIn.class, nextChange(now + 1000), "the unanswered delete is repeated");
    }

    /**
     * Guards against a backoff that outlasts the shortage: an offering that was refused while its zone was full was not requested
     * until long after a wave of evictions had emptied the zone.
     */
    @Test
    void backoffEndsWhenAMachineOfTheOfferingLeavesTheList() {
        passInstanceList(1000, 0);
        submitLargeJob();
        CloudCall.ScaleOut spot = (CloudCall.ScaleOut) nextChange(2000);
        assertTrue(spot.spot());
        for (int i = 0; i < 4; i++) {
            autoscaler.onRefused(2000, spot);
        }
        assertFalse(((CloudCall.ScaleOut) nextChange(4000)).spot(), "the spot offering was refused just now");
        passInstanceList(9500, 3);
        assertTrue(((CloudCall.ScaleOut) nextChange(9600)).spot());
    }

    /** Returns the next call that isn't a listing. */
    private CloudCall nextChange(long now) {
        CloudCall call = autoscaler.next(now, List.of(), List.of(), Set.of());
        return call instanceof CloudCall.ListInstances || call instanceof CloudCall.ListTypes
                ? autoscaler.next(now, List.of(), List.of(), Set.of())
                : call;
    }
}

package garnetscale.core.queue;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetscale.core.TestConfig;
import garnetscale.core.Times;
import garnetscale.core.job.JobRecord;
import garnetscale.core.job.JobSpec;
import garnetscale.core.job.JobState;
import garnetscale.core.job.Priority;
import garnetscale.core.job.TaskId;
import garnetscale.core.job.TestJob;
import garnetscale.core.machine.MachineType;
import garnetscale.core.machine.Placement;
import garnetscale.core.state.JobView;
import garnetscale.core.state.Keys;
import garnetscale.core.state.LogWriter;
import garnetscale.core.state.MachineRecord;
import garnetscale.core.state.Records;
import garnetscale.core.state.StateReplica;
import garnetscale.core.state.Transaction;
import garnetscale.emulator.StateModel;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * A started small job yields large machines to a more urgent large job that waits, but only those on which the large job may run.
 * Others stood empty beside the small job for as long as the large one waited.
 */
class ScarceTypeFilterTest {

    private static final List<String> ZONES = List.of("a", "b");
    private static final MachineType SMALL = new MachineType("small", 8, 0, 32, 50, 1, 1, 0.5, 40, ZONES);
    private static final MachineType LARGE = new MachineType("large", 32, 0, 128, 50, 1, 3, 1, 40, ZONES);
    private static final String LARGE_JOB = "wk-1";
    private static final String SMALL_JOB = "wk-2";
    private static final int VALUE_BYTES = 16 * 1024;
    /** A time at which no job yields any longer because it was submitted recently. */
    private static final long LATER_MS = 1_000_000;

    private final StateModel state = new StateModel();
    private final StateReplica replica = new StateReplica();
    private final Set<String> quarantinedJobs = new HashSet<>();

    ScarceTypeFilterTest() {
        put(Keys.TYPES, Records.types(List.of(SMALL, LARGE)));
        submit(TestJob.named(SMALL_JOB).tasks(2).cpus(4).build());
        place("m-small", "b", SMALL_JOB, 0);
    }

    private static TestJob largeJob() {
        return TestJob.named(LARGE_JOB).priority(Priority.HIGH).tasks(4).cpus(16);
    }

    private void put(String key, Object value) {
        state.commit(new Transaction().put(key, value));
        replica.reset(state.list(Keys.REPLICATED, null, 100), state.revision());
    }

    private void submit(JobSpec job) {
        put(Keys.job(job.id()), Records.job(new JobRecord(job, JobState.LIVE, 0)));
    }

    private void place(String machine, String zone, String job, int task) {
        Placement placement = new Placement(new TaskId(job, task), task + 1L, 1, Placement.Stop.KEEP);
        Transaction transaction = new Transaction();
        new LogWriter(replica, VALUE_BYTES)
                .write(transaction, Map.of(machine, new MachineRecord(zone, List.of(placement), Map.of())), Map.of());
        state.commit(transaction);
        replica.reset(state.list(Keys.REPLICATED, null, 100), state.revision());
    }

    /** Asserts in which zones a large machine may bid for the small job. */
    private void assertMayBid(boolean isSpot, boolean inZoneA, boolean inZoneB) {
        ScarceTypeFilter filter =
                new ScarceTypeFilter(TestConfig.small().controllers(List.of()).build());
        List<JobView> waiting = List.copyOf(replica.jobs());
        filter.refresh(replica.types(), waiting, new PlacedZones(replica, waiting), quarantinedJobs, LATER_MS);
        assertEquals(inZoneA, filter.mayBid(replica.job(SMALL_JOB), LARGE, "a", isSpot, LATER_MS), "zone a");
        assertEquals(inZoneB, filter.mayBid(replica.job(SMALL_JOB), LARGE, "b", isSpot, LATER_MS), "zone b");
    }

    @Test
    void machinesOnWhichTheWaitingJobMayRunAreKeptForIt() {
        submit(largeJob().build());
        assertMayBid(true, false, false);
    }

    @Test
    void aMachineInAZoneThatTheWaitingJobDoesNotAllowIsNotKeptForIt() {
        submit(largeJob().zone("a").build());
        assertMayBid(false, false, true);
    }

    @Test
    void aSpotInstanceIsNotKeptForAWaitingJobThatDoesNotAllowSpot() {
        submit(largeJob().spot(false).build());
        assertMayBid(true, true, true);
        assertMayBid(false, false, false);
    }

    @Test
    void aMachineInAnotherZoneIsNotKeptForAWaitingJobWithZoneAffinity() {
        submit(largeJob().zoneAffinity(true).build());
        assertMayBid(false, false, false);
        place("m-large", "a", LARGE_JOB, 0);
        assertMayBid(false, false, true);
    }

    @Test
    void aMachineInAZoneThatIsFullForAWaitingJobWithZoneAntiAffinityIsNotKeptForIt() {
        submit(largeJob().zoneAntiAffinity(true).build());
        place("m-large0", "a", LARGE_JOB, 0);
        assertMayBid(false, false, false);
        place("m-large1", "a", LARGE_JOB, 1);
        assertMayBid(false, true, false);
    }

    /**
     * A job that was submitted with a mistake waits until its user cancels it. It kept machines from another team's started job
     * for as long.
     */
    @Test
    void noMachineIsKeptForAQuarantinedJob() {
        submit(largeJob().build());
        quarantinedJobs.add(LARGE_JOB);
        assertMayBid(false, true, true);
    }

    @Test
    void aStartedJobWithoutPlacedTasksIsOverdueAfterTheLongestTimeOfYielding() {
        submit(TestJob.named("wk-3").cpus(4).build());
        ScarceTypeFilter filter =
                new ScarceTypeFilter(TestConfig.small().controllers(List.of()).build());
        List<JobView> waiting = List.of(replica.job("wk-3"));
        filter.refresh(replica.types(), waiting, new PlacedZones(replica, waiting), Set.of(), LATER_MS);
        assertFalse(filter.isOverdue(replica.job("wk-3"), LATER_MS + Times.MAX_HOLD_BACK_MS - 1));
        assertTrue(filter.isOverdue(replica.job("wk-3"), LATER_MS + Times.MAX_HOLD_BACK_MS));
        filter.refresh(replica.types(), List.of(), new PlacedZones(replica, waiting), Set.of(), LATER_MS);
        assertFalse(
                filter.isOverdue(replica.job("wk-3"), LATER_MS + Times.MAX_HOLD_BACK_MS),
                "a job whose team is at its limit isn't among the waiting jobs");
    }
}

package garnetscale.core.bidding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetscale.core.TestConfig;
import garnetscale.core.job.JobRecord;
import garnetscale.core.job.JobSpec;
import garnetscale.core.job.JobState;
import garnetscale.core.job.Priority;
import garnetscale.core.job.TaskId;
import garnetscale.core.job.TestJob;
import garnetscale.core.machine.FreeCapacity;
import garnetscale.core.machine.MachineType;
import garnetscale.core.machine.Placement;
import garnetscale.core.queue.JobOrder;
import garnetscale.core.queue.JobQueue;
import garnetscale.core.queue.PlacedZones;
import garnetscale.core.queue.ScarceTypeFilter;
import garnetscale.core.state.JobView;
import garnetscale.core.state.Keys;
import garnetscale.core.state.LogWriter;
import garnetscale.core.state.MachineRecord;
import garnetscale.core.state.Records;
import garnetscale.core.state.StateReplica;
import garnetscale.core.state.Transaction;
import garnetscale.emulator.StateModel;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/**
 * Machines don't bid for jobs whose placed tasks forbid their zone. Such bids took the slots and the overbooking of empty machines, so
 * that a job that any zone may run got no bid.
 */
class BiddingZoneConstraintsTest {

    private static final MachineType TYPE = new MachineType("t", 32, 0, 128, 50, 1, 3, 1, 40, List.of("a", "b"));
    private static final int VALUE_BYTES = 16 * 1024;
    private static final String FREE_JOB = "wk-9";

    private final TestConfig config = TestConfig.small().controllers(List.of());
    private final StateModel state = new StateModel();
    private final StateReplica replica = new StateReplica();

    BiddingZoneConstraintsTest() {
        state.commit(new Transaction().put(Keys.TYPES, Records.types(List.of(TYPE))));
    }

    private void submit(JobSpec job) {
        state.commit(new Transaction().put(Keys.job(job.id()), Records.job(new JobRecord(job, JobState.LIVE, 0))));
        load();
    }

    private void load() {
        replica.reset(state.list(Keys.REPLICATED, null, 100), state.revision());
    }

    /** Places tasks of a job from a given index on, on a machine in a zone. */
    private void place(String machine, String zone, String job, int from, int tasks) {
        List<Placement> placements = new ArrayList<>();
        for (int task = from; task < from + tasks; task++) {
            placements.add(
                    new Placement(new TaskId(job, task), 100L * placements.size() + task, 1, Placement.Stop.KEEP));
        }
        Transaction transaction = new Transaction();
        new LogWriter(replica, VALUE_BYTES)
                .write(transaction, Map.of(machine, new MachineRecord(zone, placements, Map.of())), Map.of());
        state.commit(transaction);
        load();
    }

    /** Returns the jobs that two empty machines of a zone bid for. */
    private Set<String> jobsBidForIn(String zone) {
        List<JobView> waiting = JobQueue.sort(replica.jobs(), new JobOrder(config.build()), 0);
        PlacedZones placedZones = new PlacedZones(replica, waiting);
        ScarceTypeFilter scarceTypes = new ScarceTypeFilter(config.build());
        scarceTypes.refresh(replica.types(), waiting, placedZones, Set.of(), 0);
        List<Bidder> bidders = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            bidders.add(new Bidder("m-" + zone + i, 1, TYPE, zone, false, new FreeCapacity(TYPE)));
        }
        Set<String> jobs = new TreeSet<>();
        new Bidding(replica, new Estimator(1000), scarceTypes, placedZones, 0, Set.of())
                .bids(waiting, bidders)
                .forEach(bid -> jobs.add(bid.job()));
        return jobs;
    }

    @Test
    void jobsWithAffinityToAnotherZoneLeaveTheSlotsToAJobThatAnyZoneMayRun() {
        for (int i = 0; i < 3; i++) {
            String id = "wk-" + i;
            submit(TestJob.named(id)
                    .priority(Priority.HIGH)
                    .tasks(6)
                    .cpus(16)
                    .zoneAffinity(true)
                    .build());
            place("m-first" + i, "a", id, 0, 2);
            place("m-second" + i, "a", id, 2, 2);
        }
        submit(TestJob.named(FREE_JOB).tasks(2).cpus(16).build());
        assertEquals(Set.of(FREE_JOB), jobsBidForIn("b"));
        assertEquals(Set.of("wk-0", "wk-1", "wk-2"), jobsBidForIn("a"), "slots are for the more urgent jobs here");
    }

    @Test
    void aJobWithAntiAffinityGetsNoBidsFromAZoneThatHasHalfOfItsTasks() {
        submit(TestJob.named("wk-1").tasks(4).cpus(16).zoneAntiAffinity(true).build());
        place("m-first", "a", "wk-1", 0, 2);
        assertEquals(Set.of(), jobsBidForIn("a"));
        assertEquals(Set.of("wk-1"), jobsBidForIn("b"));
    }

    /** A single task may move to any zone: it is stopped before it is placed again. */
    @Test
    void aJobWithoutUnstartedTasksGetsLateBidsFromEveryZone() {
        submit(TestJob.named("wk-1").zoneAffinity(true).build());
        place("m-first", "a", "wk-1", 0, 1);
        List<JobView> waiting = List.copyOf(replica.jobs());
        assertTrue(new PlacedZones(replica, waiting)
                .allowAnother(replica.job("wk-1").spec(), "b"));
    }
}

package garnetscale.core.leader;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetscale.core.Features;
import garnetscale.core.SchedulerConfig;
import garnetscale.core.TestConfig;
import garnetscale.core.balance.BalanceSettings;
import garnetscale.core.balance.MachineGroup;
import garnetscale.core.balance.Move;
import garnetscale.core.bidding.Bid;
import garnetscale.core.bidding.BidBatch;
import garnetscale.core.cluster.FencingTokens;
import garnetscale.core.cluster.PartitionMap;
import garnetscale.core.job.JobRecord;
import garnetscale.core.job.JobSpec;
import garnetscale.core.job.JobState;
import garnetscale.core.job.Priority;
import garnetscale.core.job.TaskId;
import garnetscale.core.job.TestJob;
import garnetscale.core.machine.MachineType;
import garnetscale.core.machine.Placement;
import garnetscale.core.machine.TaskState;
import garnetscale.core.machine.TaskStatus;
import garnetscale.core.partition.MachineStatus;
import garnetscale.core.quota.QuotaUsage;
import garnetscale.core.state.Keys;
import garnetscale.core.state.Layouts;
import garnetscale.core.state.LogWriter;
import garnetscale.core.state.Records;
import garnetscale.core.state.StateReplica;
import garnetscale.core.state.Transaction;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Load balancing with a large and a small machine. A task runs on the large machine that could run on the small one, and a job
 * waits that fits only the large one.
 */
class BalancerTest {

    private static final long TERM = FencingTokens.partitionTerm(1, 1);
    private static final long NOW = 60_000;
    private static final MachineType SMALL = new MachineType("small", 8, 0, 32, 20, 1, 1, 0.5, 20, List.of("a"));
    private static final MachineType LARGE = new MachineType("large", 16, 0, 64, 20, 1, 1, 0.5, 20, List.of("a"));
    private static final long AWARDED_AT = NOW - 30_000;

    private final SchedulerConfig config = TestConfig.small()
            .teams(new SchedulerConfig.Team("red", 0, 100, 0, 0))
            .features(new Features(
                    false,
                    Features.DEFAULT_ACTIVATION_DELAY_LEASES,
                    Layouts.SUPPORTED,
                    Features.NEVER,
                    new BalanceSettings(true, BalanceSettings.MARGIN, BalanceSettings.MOVING)))
            .build();
    private final JobSpec flexible =
            TestJob.named("wk-1").cpus(8).estimateS(100).build();
    private final JobSpec largeOnly =
            TestJob.named("wk-2").cpus(12).priority(Priority.HIGH).build();
    private final ReplicatedState state = new ReplicatedState();
    private final StateReplica replica = state.replica;
    private final List<String> log = new ArrayList<>();
    private final Leader leader = new Leader(config, replica, new PartitionMap(config), log::add);

    BalancerTest() {
        state.commit(new Transaction()
                .put(Keys.TYPES, Records.types(List.of(SMALL, LARGE)))
                .put(Keys.job("wk-1"), Records.job(new JobRecord(flexible, JobState.LIVE, AWARDED_AT))));
        state.join("n0", 1, "a");
        state.lease("a/0", "n0", 1, TERM);
        state.lead("n0", 1, 1);
        leader.onLeaseChanged(1);
        assertTrue(leader.leads(0));
        publishStatus(AWARDED_AT, "m-000001", LARGE, List.of());
        publishStatus(AWARDED_AT, "m-000002", SMALL, List.of());
        bid(AWARDED_AT, new Bid("m-000001", 1, "wk-1", 1, 100));
        state.commit(leader.plan(AWARDED_AT));
        state.commit(new Transaction()
                .put(Keys.job("wk-2"), Records.job(new JobRecord(largeOnly, JobState.LIVE, NOW - 5000))));
    }

    private void publishRunning() {
        publishStatus(AWARDED_AT + 1000, "m-000001", LARGE, List.of(placedTask(TaskState.RUNNING)));
    }

    private TaskStatus placedTask(TaskState taskState) {
        Placement placement = replica.placements("m-000001").get(0);
        return new TaskStatus(placement.task(), placement.attempt(), taskState, null, false);
    }

    private void publishStatus(long now, String machine, MachineType type, List<TaskStatus> tasks) {
        leader.onMachineStatus(
                now,
                new MachineStatus(
                        "n0",
                        1,
                        "a/0",
                        TERM,
                        machine,
                        "h:1",
                        type.name(),
                        "a",
                        false,
                        1,
                        null,
                        false,
                        tasks,
                        List.of()));
    }

    private void bid(long now, Bid... bids) {
        leader.onBids(now, new BidBatch("n0", 1, replica.revision(), Map.of("a/0", TERM), List.of(bids)));
    }

    private static Bid lateBid() {
        return new Bid("m-000002", 1, "wk-1", 1, 100);
    }

    private Placement.Stop stop() {
        return replica.placements("m-000001").get(0).stop();
    }

    @Test
    void lateBidsAreRequestedBeforeATaskIsStopped() {
        publishRunning();
        bid(NOW);
        leader.plan(NOW);
        assertEquals(List.of("wk-1"), leader.jobsWantingLateBids());
        assertEquals(List.of(), leader.recentMoves(), "no machine bids for the task yet");
        bid(NOW + 500, lateBid());
        state.commit(leader.plan(NOW + 1000));
        assertEquals(Placement.Stop.NOW, stop());
        leader.plan(NOW + 1100);
        Move move = leader.recentMoves().get(0);
        assertEquals(new MachineGroup("a", "small"), move.to());
        assertEquals("wk-2", move.beneficiary());
        assertEquals(
                1,
                log.stream()
                        .filter(line -> line.startsWith("moving task, ") && line.contains(" machine=m-000001 "))
                        .count(),
                log.toString());
    }

    /**
     * A bid may be out of date: if the batch that withdraws it is lost with its connection, the bid stays open. Such a bid once
     * kept the balancer from making room for a minute.
     */
    @Test
    void anOutdatedBidOfAFullMachineDoesNotCountAsRoom() {
        publishRunning();
        bid(NOW, new Bid("m-000001", 1, "wk-2", 1, 10), lateBid());
        state.commit(leader.plan(NOW));
        assertEquals(Placement.Stop.NOW, stop());
    }

    /** An outdated bid must not count as a destination of the moved task either. */
    @Test
    void anOutdatedLateBidOfAFullMachineIsNoDestination() {
        publishRunning();
        TransactionDraft draft = new TransactionDraft(
                replica,
                QuotaUsage.of(config, replica),
                new LogWriter.Limits(config.maxValueBytes(), config.maxTransactionOperations(), Layouts.FIRST, false));
        draft.place("m-000002", SMALL, "a", new Placement(new TaskId("wk-2", 0), 6, 1, Placement.Stop.KEEP), largeOnly);
        state.commit(draft.toTransaction());
        bid(NOW, lateBid());
        leader.plan(NOW);
        assertEquals(List.of(), leader.recentMoves());
    }

    /**
     * The heartbeat that reports a task's start may be late or lost. Counted from that heartbeat, a task was once taken for one
     * that had just begun, and moved 2.5 s before its end.
     */
    @Test
    void runTimeCountsFromTheAward() {
        long late = NOW + 60_000;
        publishStatus(late - 1000, "m-000001", LARGE, List.of(placedTask(TaskState.RUNNING)));
        bid(late, lateBid());
        leader.plan(late);
        assertEquals(List.of("wk-1"), leader.jobsWantingLateBids());
        assertEquals(List.of(), leader.recentMoves(), "awarded 90 s ago, it has 23 s left");
    }

    /**
     * A leader doesn't know how long tasks placed by an earlier leader have run: it sees them running as soon as it begins to
     * lead.
     */
    @Test
    void aTaskPlacedByAnEarlierLeaderIsNotMoved() {
        state.lead("n0", 1, 2);
        assertTrue(leader.leads(NOW));
        long later = NOW + 41_000;
        publishStatus(NOW + 1, "m-000001", LARGE, List.of(placedTask(TaskState.RUNNING)));
        publishStatus(NOW + 1, "m-000002", SMALL, List.of());
        bid(later, lateBid());
        leader.plan(later);
        assertEquals(List.of(), leader.recentMoves());
    }

    /** If the transaction with a move isn't applied, the move doesn't count and is decided again. */
    @Test
    void aMoveThatWasNotAppliedIsDecidedAgain() {
        publishRunning();
        bid(NOW, lateBid());
        leader.plan(NOW);
        assertEquals(1, leader.recentMoves().size());
        state.commit(leader.plan(NOW + 1000));
        assertEquals(Placement.Stop.NOW, stop());
        assertEquals(1, leader.recentMoves().size());
        assertEquals(
                List.of(),
                log.stream().filter(line -> line.startsWith("moving task, ")).toList(),
                "not applied yet");
        leader.plan(NOW + 1100);
        assertEquals(
                1, log.stream().filter(line -> line.startsWith("moving task, ")).count());
    }
}

package garnetscale.core.balance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetscale.core.job.JobSpec;
import garnetscale.core.job.Priority;
import garnetscale.core.job.TaskId;
import garnetscale.core.job.TestJob;
import garnetscale.core.machine.FreeCapacity;
import garnetscale.core.machine.MachineType;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Which tasks are moved and which stay, decided from one snapshot of a few machines. */
class MovePlannerTest {

    private static final MachineType SMALL = type("small", 8);
    private static final MachineType LARGE = type("large", 16);
    private static final MachineGroup SMALL_GROUP = new MachineGroup("a", "small");
    private static final MachineGroup LARGE_GROUP = new MachineGroup("a", "large");
    private static final long LEASE = 10_000;
    private static final long NOW = 100_000;

    private final JobSpec bound =
            TestJob.named("wk-bound").priority(Priority.HIGH).cpus(12).tasks(2).build();
    private final LoadTracker tracker = new LoadTracker(1000);
    private MoveBudget budget = new MoveBudget(0.1, LEASE);
    private final List<SourceMachine> machines = new ArrayList<>();
    private final List<DestinationBid> bids = new ArrayList<>();
    private long attempts;

    MovePlannerTest() {
        budget.startTerm(0);
        budget.startPass(NOW, 100, 0);
        addDestination("m-small", 2, 30);
    }

    private static MachineType type(String name, double cpus) {
        return new MachineType(name, cpus, 0, 64, 20, 1, 1, 0.5, 20, List.of("a"));
    }

    /** Adds a small machine without tasks that bids for tasks of the flexible job. */
    private void addDestination(String machine, int slots, double finishS) {
        tracker.update(0, machine, new MachineLoad(SMALL_GROUP, null, true, 8000, Map.of()));
        machines.add(new SourceMachine(machine, SMALL_GROUP, SMALL, false, false, new FreeCapacity(SMALL), List.of()));
        bids.add(new DestinationBid(machine, SMALL_GROUP, SMALL, false, false, slots, finishS));
    }

    /** Adds a large machine with the given running tasks; the machine's load is known if {@code unknown} is null. */
    private void addLargeMachine(String machine, UnknownReason unknown, boolean slow, RunningTask... tasks) {
        tracker.update(
                0, machine, new MachineLoad(LARGE_GROUP, unknown, unknown == null, 16_000, Map.of("blue", 8000L)));
        FreeCapacity free = new FreeCapacity(LARGE);
        for (RunningTask task : tasks) {
            free.take(task.job());
        }
        machines.add(new SourceMachine(machine, LARGE_GROUP, LARGE, false, slow, free, List.of(tasks)));
    }

    /** Returns a running task of 8 CPUs. */
    private RunningTask task(Priority priority, double remainingS, double checkpointedS) {
        JobSpec job = TestJob.named("wk-flexible")
                .team("blue")
                .priority(priority)
                .cpus(8)
                .build();
        return new RunningTask(
                new TaskId(job.id(), (int) ++attempts), attempts, job, remainingS, checkpointedS, 1, true);
    }

    private List<Move> plan(WaitingJob... waiting) {
        MovePlanner.Input input = new MovePlanner.Input(
                NOW, tracker.snapshot(NOW, Demand.NONE), List.of(waiting), machines, Map.of("wk-flexible", bids));
        return MovePlanner.plan(BalanceSettings.MARGIN, input, budget);
    }

    private List<Move> planForBound() {
        return plan(new WaitingJob(bound, 1, 10));
    }

    @Test
    void taskIsMovedIfTheGainExceedsTheDisruption() {
        addLargeMachine("m-large", null, false, task(Priority.NORMAL, 28, 0));
        List<Move> moves = planForBound();
        assertEquals(1, moves.size());
        assertEquals(SMALL_GROUP, moves.get(0).to());
        assertEquals("wk-bound", moves.get(0).beneficiary());
        assertTrue(moves.get(0).gainCpuS() > 1.5 * moves.get(0).disruptionCpuS());
    }

    @Test
    void cheaperOfTwoMovesIsMade() {
        addLargeMachine("m-1", null, false, task(Priority.NORMAL, 20, 0));
        addLargeMachine("m-2", null, false, task(Priority.NORMAL, 28, 0));
        assertEquals(List.of("m-2"), planForBound().stream().map(Move::machine).toList());
    }

    @Test
    void checkpointReducesTheDisruption() {
        addLargeMachine("m-large", null, false, task(Priority.NORMAL, 15, 0));
        assertEquals(List.of(), planForBound(), "the run starts from the beginning and ends 16 s later");
        machines.remove(machines.size() - 1);
        addLargeMachine("m-large", null, false, task(Priority.NORMAL, 15, 15));
        assertEquals(1, planForBound().size());
    }

    /**
     * The job's other tasks are in the zone. In another zone the task might not be placed, and would have been stopped for
     * nothing.
     */
    @Test
    void taskWithZoneAffinityStaysInItsZone() {
        MachineGroup elsewhere = new MachineGroup("b", "small");
        tracker.update(0, "m-b", new MachineLoad(elsewhere, null, true, 8000, Map.of()));
        bids.clear();
        bids.add(new DestinationBid("m-b", elsewhere, SMALL, false, false, 1, 30));
        addLargeMachine("m-large", null, false, task(Priority.NORMAL, 28, 0));
        assertEquals(1, planForBound().size());
        budget.reconcile(move -> true);
        machines.remove(machines.size() - 1);
        JobSpec zoneAffinity =
                TestJob.named("wk-flexible").cpus(8).zoneAffinity(true).build();
        addLargeMachine(
                "m-large",
                null,
                false,
                new RunningTask(new TaskId(zoneAffinity.id(), 9), 9, zoneAffinity, 28, 0, 1, true));
        assertEquals(List.of(), planForBound());
        addDestination("m-small", 1, 30);
        assertEquals(1, planForBound().size());
    }

    /** PROTOCOL allows stopping a task only for a task of higher priority. */
    @Test
    void taskOfTheSamePriorityStays() {
        addLargeMachine("m-large", null, false, task(Priority.HIGH, 29, 0));
        assertEquals(List.of(), planForBound());
    }

    @Test
    void taskStaysIfCapacityIsFreeSoon() {
        addLargeMachine("m-1", null, false, task(Priority.NORMAL, 29, 0));
        addLargeMachine("m-2", null, false, task(Priority.NORMAL, 2, 0));
        assertEquals(List.of(), planForBound(), "m-2 has free capacity in 2 s without a move");
    }

    @Test
    void freeCapacityIsNotClearedAgain() {
        addLargeMachine("m-1", null, false, task(Priority.NORMAL, 28, 0));
        addLargeMachine("m-2", null, false);
        assertEquals(List.of(), planForBound());
        assertEquals(1, plan(new WaitingJob(bound, 2, 10)).size());
    }

    @Test
    void nothingMovesIfSourceOrDestinationIsUnknown() {
        addLargeMachine("m-large", UnknownReason.PARTITION_REASSIGNED, false, task(Priority.NORMAL, 28, 0));
        assertEquals(List.of(), planForBound(), "the source's group is unknown");
        machines.remove(machines.size() - 1);
        addLargeMachine("m-large", null, false, task(Priority.NORMAL, 28, 0));
        for (int i = 0; i < 4; i++) {
            tracker.update(0, "m-other" + i, new MachineLoad(SMALL_GROUP, null, true, 8000, Map.of()));
        }
        tracker.update(0, "m-small", new MachineLoad(SMALL_GROUP, UnknownReason.OWNER_SILENT, false, 8000, Map.of()));
        assertEquals(List.of(), planForBound(), "the destination is unknown");
    }

    /** For two groups that fill in turn: the group that is empty at the moment but full on average receives no tasks. */
    @Test
    void destinationThatIsFullOnAverageReceivesNothing() {
        addLargeMachine("m-large", null, false, task(Priority.NORMAL, 28, 0));
        for (int i = 0; i <= 100; i++) {
            long used = i % 10 == 0 ? 0 : 8000;
            tracker.update(i * 1000L, "m-small", new MachineLoad(SMALL_GROUP, null, true, 8000, Map.of("red", used)));
        }
        assertEquals(List.of(), planForBound());
    }

    @Test
    void newLeaderMovesNothingAtFirst() {
        addLargeMachine("m-large", null, false, task(Priority.NORMAL, 28, 0));
        budget.startTerm(NOW - 1);
        assertEquals(List.of(), planForBound());
    }

    /** The move pays back after 41 s, but a new leader, which wouldn't know of the move, waits for only 40 s. */
    @Test
    void moveWithTooLongPaybackIsNotMade() {
        bids.clear();
        addDestination("m-far", 1, 159);
        addLargeMachine("m-large", null, false, task(Priority.NORMAL, 100, 0));
        assertEquals(List.of(), planForBound());
        budget = new MoveBudget(0.1, 2 * LEASE);
        budget.startPass(NOW, 100, 0);
        assertEquals(1, planForBound().size(), "the same move with longer leases");
    }

    /** The paper's late bid, which also applies to a machine that isn't slow enough to be decommissioned. */
    @Test
    void taskLeavesSlowMachineForMuchBetterBid() {
        addLargeMachine("m-slow", null, true, task(Priority.NORMAL, 80, 0));
        List<Move> moves = plan();
        assertEquals(1, moves.size());
        assertEquals(null, moves.get(0).beneficiary());
        machines.clear();
        addLargeMachine("m-slow", null, true, task(Priority.NORMAL, 45, 0));
        assertEquals(List.of(), plan(), "31 s elsewhere aren't an improvement above i0");
    }

    @Test
    void sameInputYieldsSamePlan() {
        assertEquals(planWithEqualMoves(), planWithEqualMoves());
        assertEquals(
                List.of("m-1"), planWithEqualMoves().stream().map(Move::machine).toList());
    }

    private static List<Move> planWithEqualMoves() {
        MovePlannerTest test = new MovePlannerTest();
        test.addLargeMachine("m-2", null, false, test.task(Priority.NORMAL, 28, 0));
        test.addLargeMachine("m-1", null, false, test.task(Priority.NORMAL, 28, 0));
        return test.planForBound();
    }
}

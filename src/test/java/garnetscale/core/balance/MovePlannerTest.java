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

/** What is moved and what stays, decided from one picture of a few machines. */
class MovePlannerTest {

    private static final MachineType SMALL = type("small", 8);
    private static final MachineType LARGE = type("large", 16);
    private static final MachineGroup SMALLS = new MachineGroup("a", "small");
    private static final MachineGroup LARGES = new MachineGroup("a", "large");
    private static final long LEASE = 10_000;
    private static final long NOW = 100_000;

    private final JobSpec bound =
            TestJob.named("wk-bound").priority(Priority.HIGH).cpus(12).tasks(2).build();
    private final LoadTracker tracker = new LoadTracker(1000);
    private MoveBudget budget = new MoveBudget(0.1, LEASE);
    private final List<SourceMachine> machines = new ArrayList<>();
    private final List<DestinationBid> offers = new ArrayList<>();
    private long attempts;

    MovePlannerTest() {
        budget.startTerm(0);
        budget.startPass(NOW, 100, 0);
        offer("m-small", 2, 30);
    }

    private static MachineType type(String name, double cpus) {
        return new MachineType(name, cpus, 0, 64, 20, 1, 1, 0.5, 20, List.of("a"));
    }

    private void offer(String machine, int slots, double finishS) {
        tracker.update(0, machine, new MachineLoad(SMALLS, null, true, 8000, Map.of()));
        machines.add(new SourceMachine(machine, SMALLS, SMALL, false, false, new FreeCapacity(SMALL), List.of()));
        offers.add(new DestinationBid(machine, SMALLS, SMALL, false, false, slots, finishS));
    }

    /** A large machine on which tasks of 8 CPUs run that will still take so long. */
    private void large(String machine, UnknownReason unknown, boolean slow, RunningTask... tasks) {
        tracker.update(0, machine, new MachineLoad(LARGES, unknown, unknown == null, 16_000, Map.of("blue", 8000L)));
        FreeCapacity free = new FreeCapacity(LARGE);
        for (RunningTask task : tasks) {
            free.take(task.job());
        }
        machines.add(new SourceMachine(machine, LARGES, LARGE, false, slow, free, List.of(tasks)));
    }

    private RunningTask task(Priority priority, double remainingS, double savedS) {
        JobSpec job = TestJob.named("wk-flexible")
                .team("blue")
                .priority(priority)
                .cpus(8)
                .build();
        return new RunningTask(new TaskId(job.id(), (int) ++attempts), attempts, job, remainingS, savedS, 1, true);
    }

    private List<Move> plan(WaitingJob... waiting) {
        MovePlanner.Input input = new MovePlanner.Input(
                NOW, tracker.snapshot(NOW, Demand.NONE), List.of(waiting), machines, Map.of("wk-flexible", offers));
        return MovePlanner.plan(BalanceSettings.MARGIN, input, budget);
    }

    private List<Move> planForBound() {
        return plan(new WaitingJob(bound, 1, 10));
    }

    @Test
    void aTaskThatLosesLittleLeavesItsRoom() {
        large("m-large", null, false, task(Priority.NORMAL, 28, 0));
        List<Move> moves = planForBound();
        assertEquals(1, moves.size());
        assertEquals(SMALLS, moves.get(0).to());
        assertEquals("wk-bound", moves.get(0).beneficiary());
        assertTrue(moves.get(0).gainCpuS() > 1.5 * moves.get(0).disruptionCpuS());
    }

    @Test
    void theCheaperOfTwoMoves() {
        large("m-1", null, false, task(Priority.NORMAL, 20, 0));
        large("m-2", null, false, task(Priority.NORMAL, 28, 0));
        assertEquals(List.of("m-2"), planForBound().stream().map(Move::machine).toList());
    }

    @Test
    void whatIsSavedNeedNotBeRunAgain() {
        large("m-large", null, false, task(Priority.NORMAL, 15, 0));
        assertEquals(List.of(), planForBound(), "the run begins anew and ends 16 s later");
        machines.remove(machines.size() - 1);
        large("m-large", null, false, task(Priority.NORMAL, 15, 15));
        assertEquals(1, planForBound().size());
    }

    /** Its other tasks are in its zone: it might not be placed in the other one, and would have been stopped for nothing. */
    @Test
    void aTaskThatIsBoundToItsZoneStaysInIt() {
        MachineGroup elsewhere = new MachineGroup("b", "small");
        tracker.update(0, "m-b", new MachineLoad(elsewhere, null, true, 8000, Map.of()));
        offers.clear();
        offers.add(new DestinationBid("m-b", elsewhere, SMALL, false, false, 1, 30));
        large("m-large", null, false, task(Priority.NORMAL, 28, 0));
        assertEquals(1, planForBound().size());
        budget.reconcile(move -> true);
        machines.remove(machines.size() - 1);
        JobSpec zoneAffinity =
                TestJob.named("wk-flexible").cpus(8).zoneAffinity(true).build();
        large(
                "m-large",
                null,
                false,
                new RunningTask(new TaskId(zoneAffinity.id(), 9), 9, zoneAffinity, 28, 0, 1, true));
        assertEquals(List.of(), planForBound());
        offer("m-small", 1, 30);
        assertEquals(1, planForBound().size());
    }

    /** PROTOCOL lets work be stopped for work of higher priority only. */
    @Test
    void workOfTheSamePriorityStays() {
        large("m-large", null, false, task(Priority.HIGH, 29, 0));
        assertEquals(List.of(), planForBound());
    }

    @Test
    void whatIsOverSoonStays() {
        large("m-1", null, false, task(Priority.NORMAL, 29, 0));
        large("m-2", null, false, task(Priority.NORMAL, 2, 0));
        assertEquals(List.of(), planForBound(), "m-2 has room in 2 s by itself");
    }

    @Test
    void roomOnItsWayIsNotMadeTwice() {
        large("m-1", null, false, task(Priority.NORMAL, 28, 0));
        large("m-2", null, false);
        assertEquals(List.of(), planForBound());
        assertEquals(1, plan(new WaitingJob(bound, 2, 10)).size());
    }

    @Test
    void nothingMovesIntoOrOutOfWhatIsUnknown() {
        large("m-large", UnknownReason.PARTITION_REASSIGNED, false, task(Priority.NORMAL, 28, 0));
        assertEquals(List.of(), planForBound(), "the source's group is unknown");
        machines.remove(machines.size() - 1);
        large("m-large", null, false, task(Priority.NORMAL, 28, 0));
        for (int i = 0; i < 4; i++) {
            tracker.update(0, "m-other" + i, new MachineLoad(SMALLS, null, true, 8000, Map.of()));
        }
        tracker.update(0, "m-small", new MachineLoad(SMALLS, UnknownReason.OWNER_UNHEARD, false, 8000, Map.of()));
        assertEquals(List.of(), planForBound(), "the destination is unknown");
    }

    /** Two groups that fill by turns: what is emptier at the moment but full on average takes nothing. */
    @Test
    void aDestinationThatIsFullOnAverageTakesNothing() {
        large("m-large", null, false, task(Priority.NORMAL, 28, 0));
        for (int i = 0; i <= 100; i++) {
            long used = i % 10 == 0 ? 0 : 8000;
            tracker.update(i * 1000L, "m-small", new MachineLoad(SMALLS, null, true, 8000, Map.of("red", used)));
        }
        assertEquals(List.of(), planForBound());
    }

    @Test
    void aNewLeaderWaits() {
        large("m-large", null, false, task(Priority.NORMAL, 28, 0));
        budget.startTerm(NOW - 1);
        assertEquals(List.of(), planForBound());
    }

    /** It pays after 41 s, and a new leader that waits for 40 s couldn't know of it any more. */
    @Test
    void aMoveThatTakesTooLongToPayIsNotMade() {
        offers.clear();
        offer("m-far", 1, 159);
        large("m-large", null, false, task(Priority.NORMAL, 100, 0));
        assertEquals(List.of(), planForBound());
        budget = new MoveBudget(0.1, 2 * LEASE);
        budget.startPass(NOW, 100, 0);
        assertEquals(1, planForBound().size(), "the same where leases are longer");
    }

    /** The paper's late bid, also where the machine isn't slow enough to be given back. */
    @Test
    void aTaskLeavesASlowMachineForAMuchBetterBid() {
        large("m-slow", null, true, task(Priority.NORMAL, 80, 0));
        List<Move> moves = plan();
        assertEquals(1, moves.size());
        assertEquals(null, moves.get(0).beneficiary());
        machines.clear();
        large("m-slow", null, true, task(Priority.NORMAL, 45, 0));
        assertEquals(List.of(), plan(), "31 s elsewhere aren't better by i0");
    }

    @Test
    void theSameInputYieldsTheSamePlan() {
        assertEquals(planAmongEquals(), planAmongEquals());
        assertEquals(
                List.of("m-1"), planAmongEquals().stream().map(Move::machine).toList());
    }

    private static List<Move> planAmongEquals() {
        MovePlannerTest test = new MovePlannerTest();
        test.large("m-2", null, false, test.task(Priority.NORMAL, 28, 0));
        test.large("m-1", null, false, test.task(Priority.NORMAL, 28, 0));
        return test.planForBound();
    }
}

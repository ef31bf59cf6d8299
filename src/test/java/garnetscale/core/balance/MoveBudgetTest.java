package garnetscale.core.balance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetscale.core.job.TaskId;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Each limit on its own, with all other limits too high to be reached. */
class MoveBudgetTest {

    private static final long LEASE = 10_000;
    private static final long WINDOW = 4 * LEASE;
    private static final long NOW = 100_000;
    private static final MachineGroup FROM = new MachineGroup("a", "large");
    private static final MachineGroup TO = new MachineGroup("a", "small");

    private final LoadSnapshot load;
    private final MoveBudget budget = new MoveBudget(0.02, LEASE);
    private int tasks;

    MoveBudgetTest() {
        LoadTracker tracker = new LoadTracker(1000);
        tracker.update(0, "m-1", new MachineLoad(TO, null, true, 100_000, Map.of()));
        load = tracker.snapshot(0, Demand.NONE);
        budget.startTerm(0);
    }

    private Move move(String team, double cpus, long paybackMs) {
        return move(tasks++, team, cpus, paybackMs);
    }

    private static Move move(int task, String team, double cpus, long paybackMs) {
        return new Move(new TaskId("wk-1", task), task, team, cpus, "m-9", FROM, TO, "wk-2", 100, 10, paybackMs);
    }

    /** Makes a move if it is allowed, as the only one of a pass in which {@code stopping} placed tasks are being stopped. */
    private boolean makeIfAllowed(long now, Move move, int stopping) {
        budget.startPass(now, 400, stopping);
        if (!budget.allows(now, List.of(move), load)) {
            return false;
        }
        budget.add(now, move);
        return true;
    }

    @Test
    void limitsTasksStoppingAtATime() {
        assertTrue(makeIfAllowed(NOW, move("red", 0, 0), 7));
        assertFalse(makeIfAllowed(NOW, move("red", 0, 0), 8), "2% of 400 tasks");
        budget.startPass(NOW, 400, 5);
        List<Move> jointMoves = List.of(move("red", 0, 0), move("red", 0, 0), move("red", 0, 0), move("red", 0, 0));
        assertFalse(budget.allows(NOW, jointMoves, load));
        assertTrue(budget.allows(NOW, jointMoves.subList(0, 3), load));
    }

    @Test
    void limitsMovesInAWindow() {
        for (int i = 0; i < 32; i++) {
            assertTrue(makeIfAllowed(NOW + i, move(i % 2 == 0 ? "red" : "blue", 0, 0), 0));
        }
        assertFalse(makeIfAllowed(NOW + 50, move("green", 0, 0), 0));
        assertFalse(makeIfAllowed(NOW + WINDOW - 1, move("green", 0, 0), 0));
        assertTrue(makeIfAllowed(NOW + WINDOW, move("green", 0, 0), 0), "the first move has left the window");
    }

    @Test
    void limitsMovesOfATeam() {
        for (int i = 0; i < 16; i++) {
            assertTrue(makeIfAllowed(NOW + i, move("red", 0, 0), 0));
        }
        assertFalse(makeIfAllowed(NOW + 50, move("red", 0, 0), 0));
        assertTrue(makeIfAllowed(NOW + 50, move("blue", 0, 0), 0));
    }

    @Test
    void limitsMovesToAGroup() {
        assertTrue(makeIfAllowed(NOW, move("red", 80, 0), 0), "a single task may always be moved where it fits");
        assertFalse(makeIfAllowed(NOW + 1, move("red", 1, 0), 0), "at most half of 100 free CPUs");
        assertTrue(makeIfAllowed(NOW + LEASE, move("red", 30, 0), 0), "the first task is no longer in transit");
        assertTrue(makeIfAllowed(NOW + LEASE, move("red", 20, 0), 0));
        assertFalse(makeIfAllowed(NOW + LEASE, move("red", 1, 0), 0));
    }

    @Test
    void taskIsNotMovedBeforeItsLastMovePaidBack() {
        assertTrue(makeIfAllowed(NOW, move(7, "red", 0, 5000), 0));
        assertFalse(makeIfAllowed(NOW + 4999, move(7, "red", 0, 0), 0));
        assertTrue(makeIfAllowed(NOW + 5000, move(7, "red", 0, 0), 0));
    }

    @Test
    void paybackTimeIsLimitedToTheWaitOfANewLeader() {
        assertFalse(makeIfAllowed(NOW, move("red", 0, WINDOW + 1), 0));
        assertTrue(makeIfAllowed(NOW, move("red", 0, WINDOW), 0));
        budget.startTerm(NOW);
        assertFalse(makeIfAllowed(NOW + WINDOW - 1, move("red", 0, 0), 0));
        assertTrue(makeIfAllowed(NOW + WINDOW, move("red", 0, 0), 0));
    }

    @Test
    void movesThatWereNotAppliedAreRemoved() {
        Move lost = move(7, "red", 0, 5000);
        Move stored = move(8, "red", 0, 5000);
        makeIfAllowed(NOW, lost, 0);
        makeIfAllowed(NOW, stored, 0);
        assertEquals(List.of(stored), budget.reconcile(lost::equals));
        assertEquals(List.of(stored), budget.recent());
        assertEquals(List.of(), budget.reconcile(move -> false), "each move is returned once");
        assertTrue(makeIfAllowed(NOW + 1, move(7, "red", 0, 0), 0));
        assertFalse(makeIfAllowed(NOW + 1, move(8, "red", 0, 0), 0));
    }
}

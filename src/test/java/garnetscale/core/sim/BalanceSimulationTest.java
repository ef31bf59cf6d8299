package garnetscale.core.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetscale.core.balance.BalanceSettings;
import garnetscale.core.job.Priority;
import garnetscale.core.job.TestJob;
import garnetscale.core.machine.MachineType;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/**
 * Two teams swell at once on machines of two types: one could run anywhere and has filled both, the other, more urgent, fits the
 * large type alone. Controllers, machines and the state service fail amid the moves that follow, with PROTOCOL's rules watched
 * from outside. A day fails on which its failure did not coincide with a move.
 */
class BalanceSimulationTest {

    private static final int SEEDS = Integer.getInteger("balance.seeds", 3);
    private static final MachineType SMALL = SimulatedCluster.TYPE;
    private static final MachineType LARGE =
            new MachineType("large", 16, 0, 64, 20, 1, 2, 1, 20, List.of("a", "b", "c"));
    static final ClusterShape SHAPE = new ClusterShape(3, List.of("a", "b"), 24, 16 * 1024)
            .withTypes(List.of(SMALL, LARGE))
            .withBalance(new BalanceSettings(true, BalanceSettings.MARGIN, BalanceSettings.MOVING));
    /** A new leader moves nothing before four leases have passed. */
    private static final long QUIET = 4 * SimulatedCluster.LEASE;

    private static final long SWELL = QUIET + 10_000;
    private static final int FLEXIBLE_S = 120;

    /** A day, with what was moved on it. */
    record Day(SimulatedCluster cluster, MoveHistory history) {

        /** Runs something at each stored move from now on. */
        void onMove(Consumer<MoveHistory.Moved> run) {
            var log = cluster.onLog;
            int[] seen = {history.moves.size()};
            cluster.onLog = (node, line) -> {
                log.accept(node, line);
                while (seen[0] < history.moves.size()) {
                    run.accept(history.moves.get(seen[0]++));
                }
            };
        }

        void onFirstMove(Consumer<MoveHistory.Moved> run) {
            boolean[] done = new boolean[1];
            onMove(move -> {
                if (!done[0]) {
                    done[0] = true;
                    cluster.countOccurrence("failure during a move");
                    run.accept(move);
                }
            });
        }
    }

    static Day day(long seed, ClusterShape shape) {
        SimulatedCluster cluster = new SimulatedCluster(seed, SimulatedCluster.Fault.NONE, shape);
        return new Day(cluster, new MoveHistory(cluster));
    }

    /** The flexible team fills both types; ten seconds later the other one asks for the large type. */
    static void swell(SimulatedCluster cluster) {
        cluster.at(SWELL, () -> cluster.users.submit("wk-flexible", "blue", 40, 4, FLEXIBLE_S));
        cluster.at(SWELL + 10_000, () -> cluster.users.submit("wk-bound", "red", Priority.HIGH, 10, 12, 30, false));
    }

    /** Runs until every job is over; rules hold, and no moved task is lost. */
    static void settle(Day day, long seed) {
        SimulatedCluster cluster = day.cluster();
        cluster.run(SWELL + 60_000);
        for (long t = cluster.now; t < 900_000; t += 5000) {
            cluster.run(t);
            if (cluster.rules.jobs.keySet().stream().allMatch(cluster.users::poll)) {
                break;
            }
        }
        cluster.rules.jobs.keySet().stream()
                .filter(job -> !cluster.users.poll(job))
                .forEach(job -> cluster.rules.violations.add("never over: " + job));
        assertEquals(List.of(), cluster.rules.violations, "seed " + seed);
        assertEquals(new TreeSet<>(), day.history().lost(), "seed " + seed);
    }

    /** Plays a day of two swells with a failure; returns all days played. */
    private static List<Day> play(Consumer<Day> failure) {
        List<Day> days = new ArrayList<>();
        for (long seed = 1; seed <= SEEDS; seed++) {
            Day day = day(seed, SHAPE);
            swell(day.cluster());
            failure.accept(day);
            settle(day, seed);
            assertTrue(
                    day.cluster().occurrences.getOrDefault("failure during a move", 0) > 0,
                    "seed " + seed + ": no move");
            days.add(day);
        }
        return days;
    }

    @Test
    void tasksThatCouldRunElsewhereLeaveTheScarceType() {
        for (Day day : play(day -> day.onFirstMove(move -> {}))) {
            assertTrue(day.history().startedElsewhere() > 0);
            assertTrue(
                    day.history().needless() * 10 <= day.history().moves.size(),
                    day.history().needless() + " needless of " + day.history().moves);
        }
    }

    /** Right after the stop was stored and before it is proven. */
    @Test
    void theLeaderEndsOrStandsStillOrIsRefusedAmidAMove() {
        play(day -> day.onFirstMove(move -> day.cluster().crash(day.cluster().leader(), 4000)));
        play(day -> day.onFirstMove(
                move -> day.cluster().network.freeze(day.cluster().leader(), 30_000)));
        play(day ->
                day.onFirstMove(move -> day.cluster().state.refuse(day.cluster().leader(), 20_000)));
        play(day -> day.onFirstMove(
                move -> day.cluster().network.cutFromAllButWorkers(day.cluster().leader(), 30_000)));
    }

    /** Half of the transactions get no answer, carried out at once or late, and the leader ends among them. */
    @Test
    void theStopsOutcomeIsUnknown() {
        for (boolean atOnce : List.of(true, false)) {
            play(day -> {
                day.cluster().at(SWELL + 10_500, () -> day.cluster().state.late(20_000, 0.5, atOnce));
                day.onFirstMove(move -> day.cluster().crash(day.cluster().leader(), 100));
            });
        }
    }

    /** Each new leader moves nothing while anything that an earlier one moved could still count. */
    @Test
    void limitsHoldOverManyLeaders() {
        for (Day day : play(day -> day.onFirstMove(move -> {
            for (int i = 0; i < 10; i++) {
                day.cluster().at(1 + 12_000 * i, () -> day.cluster()
                        .crash(day.cluster().leader(), 3000));
            }
        }))) {
            assertTrue(
                    day.cluster().occurrences.get("leader changed") >= 8,
                    day.cluster().occurrences.toString());
            assertTrue(
                    day.history().mostWithin(QUIET) <= 16, day.history().moves.toString());
            assertTrue(
                    day.history().shortestBetweenMoves() >= QUIET,
                    day.history().moves.toString());
        }
    }

    @Test
    void aBlockChangesHandsAmidAMove() {
        play(day -> day.onFirstMove(move -> {
            day.cluster().crash(day.cluster().ownerOf(move.machine()), 5000);
            day.cluster().copiesUntil = day.cluster().now + 30_000;
        }));
    }

    /** Where the task might go is taken away, hangs or is cut off between the plan and its start. */
    @Test
    void destinationsFailAmidAMove() {
        play(day -> day.onFirstMove(
                move -> smallMachines(day, 4, id -> day.cluster().drain(id, 20))));
        play(day -> day.onFirstMove(
                move -> smallMachines(day, 6, id -> day.cluster().hang(id, 12_000))));
        play(day -> day.onFirstMove(
                move -> smallMachines(day, 6, id -> day.cluster().network.cut(id, 15_000))));
    }

    private static void smallMachines(Day day, int count, Consumer<String> failure) {
        day.cluster().workers.stream()
                .filter(worker -> day.cluster().typeOf(worker.id).equals(SMALL.name()))
                .limit(count)
                .forEach(worker -> failure.accept(worker.id));
    }

    @Test
    void theMovingTaskIsCancelledOrItsMachineLost() {
        play(day -> day.onFirstMove(move -> day.cluster().users.cancel("wk-flexible")));
        play(day -> day.onFirstMove(move -> day.cluster().network.cut(move.machine(), 40_000)));
        play(day -> day.onFirstMove(move -> day.cluster().hang(move.machine(), 14_000)));
    }

    @Test
    void theStateServiceIsOutAcrossAMove() {
        play(day -> day.onFirstMove(move -> day.cluster().state.outage(25_000)));
    }

    /** Of so many lost messages late bids suffer, too, so that not every day has a move. */
    @Test
    void oneMessageInTenIsLost() {
        int moves = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            Day day = day(seed, SHAPE);
            swell(day.cluster());
            day.cluster().at(SWELL, () -> day.cluster().network.loss = 0.1);
            day.cluster().at(SWELL + 60_000, () -> day.cluster().network.loss = 0.002);
            settle(day, seed);
            moves += day.history().moves.size();
        }
        assertTrue(moves > 0, "no move on any day");
    }

    /** Some controllers have load balancing on and others off, and leadership changes between them. */
    @Test
    void controllersWithAndWithoutBalancing() {
        play(day -> {
            day.cluster().unbalanced.add("n1");
            day.cluster().crash("n1", 100);
            for (int at = 2000; at <= 8000; at += 2000) {
                day.cluster().at(at, () -> {
                    if (day.cluster().leader().equals("n1")) {
                        day.cluster().crash("n1", 3000);
                    }
                });
            }
            day.onFirstMove(move -> day.cluster().crash(day.cluster().leader(), 4000));
        });
    }

    /** Nothing to gain: a balanced cluster, one that is full everywhere, and a swell that is over before a move would pay. */
    @Test
    void nothingMovesWithoutGain() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            Day balanced = day(seed, SHAPE);
            balanced.cluster().at(SWELL, () -> {
                balanced.cluster().users.submit("wk-1", "blue", 12, 4, 60);
                balanced.cluster().users.submit("wk-2", "red", Priority.HIGH, 6, 4, 60, false);
            });
            settle(balanced, seed);
            Day full = day(seed, SHAPE);
            full.cluster().at(SWELL, () -> full.cluster().users.submit("wk-flexible", "blue", 50, 4, 60));
            full.cluster().at(SWELL, () -> full.cluster().users.submit("wk-other", "red", 40, 4, 60));
            full.cluster().at(SWELL + 10_000, () -> full.cluster()
                    .users
                    .submit("wk-bound", "red", Priority.HIGH, 2, 12, 30, false));
            settle(full, seed);
            Day brief = day(seed, SHAPE);
            brief.cluster().at(SWELL, () -> brief.cluster().users.submit("wk-flexible", "blue", 40, 4, 14));
            brief.cluster().at(SWELL + 10_000, () -> brief.cluster()
                    .users
                    .submit("wk-bound", "red", Priority.HIGH, 10, 12, 30, false));
            settle(brief, seed);
            for (Day day : List.of(balanced, full, brief)) {
                assertEquals(List.of(), day.history().moves, "seed " + seed);
            }
        }
    }

    /** A task that has run for long and saves nothing stays; its neighbour that has just begun moves. */
    @Test
    void theCheapTaskMovesAndTheCostlyOneStays() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            Day day = day(seed, SHAPE);
            SimulatedCluster cluster = day.cluster();
            cluster.at(
                    2000,
                    () -> cluster.users.submit(TestJob.named("wk-costly")
                            .team("blue")
                            .tasks(12)
                            .cpus(4)
                            .types(List.of(SMALL.name(), LARGE.name()))
                            .estimateS(SWELL / 1000.0 + 40)
                            .build()));
            cluster.at(SWELL, () -> cluster.users.submit("wk-cheap", "blue", 28, 4, FLEXIBLE_S));
            cluster.at(SWELL + 10_000, () -> cluster.users.submit("wk-bound", "red", Priority.HIGH, 10, 12, 30, false));
            settle(day, seed);
            assertTrue(!day.history().moves.isEmpty(), "seed " + seed + ": no move");
            assertEquals(
                    List.of(),
                    day.history().moves.stream()
                            .filter(move -> move.task().job().equals("wk-costly"))
                            .toList(),
                    "seed " + seed);
        }
    }
}

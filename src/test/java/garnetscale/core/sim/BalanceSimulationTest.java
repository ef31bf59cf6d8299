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
 * Load peaks of two teams on machines of two types. The tasks of team blue run on both types and leave too little room on the
 * large type; then team red submits tasks of a higher priority, which fit only that type. Controllers, machines and the state
 * service fail during the moves that follow, and {@link ProtocolRules} checks PROTOCOL's rules. A scenario fails if its failure
 * did not coincide with a move.
 */
class BalanceSimulationTest {

    private static final int SEEDS = Integer.getInteger("balance.seeds", 3);
    private static final MachineType SMALL = SimulatedCluster.TYPE;
    private static final MachineType LARGE =
            new MachineType("large", 16, 0, 64, 20, 1, 2, 1, 20, List.of("a", "b", "c"));
    static final ClusterShape SHAPE = new ClusterShape(3, List.of("a", "b"), 24, 16 * 1024)
            .withTypes(List.of(SMALL, LARGE))
            .withBalance(new BalanceSettings(true, BalanceSettings.MARGIN, BalanceSettings.MOVING));
    /** Window of the move budget: four worker leases, in which a new leader moves no task. */
    private static final long MOVE_WINDOW_MS = 4 * SimulatedCluster.LEASE_MS;

    private static final long PEAK_START_MS = MOVE_WINDOW_MS + 10_000;
    private static final int FLEXIBLE_ESTIMATE_S = 120;

    /** A simulated cluster, with the moves that were made in it. */
    record Scenario(SimulatedCluster cluster, MoveHistory history) {

        /** Runs an action at each move that is stored from now on. */
        void onMove(Consumer<MoveHistory.Move> run) {
            var log = cluster.onLog;
            int[] reported = {history.moves.size()};
            cluster.onLog = (node, line) -> {
                log.accept(node, line);
                while (reported[0] < history.moves.size()) {
                    run.accept(history.moves.get(reported[0]++));
                }
            };
        }

        /** Runs an action, which injects the failure, at the first move that is stored from now on. */
        void onFirstMove(Consumer<MoveHistory.Move> run) {
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

    static Scenario create(long seed, ClusterShape shape) {
        SimulatedCluster cluster = new SimulatedCluster(seed, SimulatedCluster.Fault.NONE, shape);
        return new Scenario(cluster, new MoveHistory(cluster));
    }

    /** Submits a flexible job, which runs on both types, and ten seconds later a bound job that fits only the large type. */
    static void submitPeak(SimulatedCluster cluster) {
        cluster.at(PEAK_START_MS, () -> cluster.users.submit("wk-flexible", "blue", 40, 4, FLEXIBLE_ESTIMATE_S));
        cluster.at(
                PEAK_START_MS + 10_000,
                () -> cluster.users.submit("wk-bound", "red", Priority.HIGH, 10, 12, 30, false));
    }

    /** Runs until every job is terminal; asserts that the rules hold and that no moved task is lost. */
    static void settle(Scenario scenario, long seed) {
        SimulatedCluster cluster = scenario.cluster();
        cluster.run(PEAK_START_MS + 60_000);
        for (long t = cluster.now; t < 900_000; t += 5000) {
            cluster.run(t);
            if (cluster.rules.jobs.keySet().stream().allMatch(cluster.users::poll)) {
                break;
            }
        }
        cluster.rules.jobs.keySet().stream()
                .filter(job -> !cluster.users.poll(job))
                .forEach(job -> cluster.rules.violations.add("not terminal: " + job));
        assertEquals(List.of(), cluster.rules.violations, "seed " + seed);
        assertEquals(new TreeSet<>(), scenario.history().lostTasks(), "seed " + seed);
    }

    /** Runs the load peak with a failure for each seed; asserts that each failure coincided with a move. */
    private static List<Scenario> play(Consumer<Scenario> failure) {
        List<Scenario> scenarios = new ArrayList<>();
        for (long seed = 1; seed <= SEEDS; seed++) {
            Scenario scenario = create(seed, SHAPE);
            submitPeak(scenario.cluster());
            failure.accept(scenario);
            settle(scenario, seed);
            assertTrue(
                    scenario.cluster().occurrences.getOrDefault("failure during a move", 0) > 0,
                    "seed " + seed + ": no move");
            scenarios.add(scenario);
        }
        return scenarios;
    }

    @Test
    void tasksThatCouldRunElsewhereLeaveTheScarceType() {
        for (Scenario scenario : play(scenario -> scenario.onFirstMove(move -> {}))) {
            assertTrue(scenario.history().countStartedOnOtherType() > 0);
            assertTrue(
                    scenario.history().countNeedless() * 10
                            <= scenario.history().moves.size(),
                    scenario.history().countNeedless() + " needless moves of " + scenario.history().moves);
        }
    }

    /** The leader fails right after it stored the stop of a moving task, before the termination of the task is proven. */
    @Test
    void theLeaderFailsDuringAMove() {
        play(scenario -> scenario.onFirstMove(
                move -> scenario.cluster().crash(scenario.cluster().leader(), 4000)));
        play(scenario -> scenario.onFirstMove(
                move -> scenario.cluster().network.freeze(scenario.cluster().leader(), 30_000)));
        play(scenario -> scenario.onFirstMove(
                move -> scenario.cluster().state.refuse(scenario.cluster().leader(), 20_000)));
        play(scenario -> scenario.onFirstMove(move -> scenario.cluster()
                .network
                .cutFromAllButWorkers(scenario.cluster().leader(), 30_000)));
    }

    /** Half of the transactions get no answer and are applied at once or late, and the leader crashes meanwhile. */
    @Test
    void theOutcomeOfTheStopIsUnknown() {
        for (boolean atOnce : List.of(true, false)) {
            play(scenario -> {
                scenario.cluster().at(PEAK_START_MS + 10_500, () -> scenario.cluster()
                        .state
                        .loseAnswers(20_000, 0.5, atOnce));
                scenario.onFirstMove(
                        move -> scenario.cluster().crash(scenario.cluster().leader(), 100));
            });
        }
    }

    /** A new leader moves no task as long as moves of an earlier leader could still count against the limit. */
    @Test
    void limitsHoldAcrossManyLeaders() {
        for (Scenario scenario : play(scenario -> scenario.onFirstMove(move -> {
            for (int i = 0; i < 10; i++) {
                scenario.cluster().at(1 + 12_000 * i, () -> scenario.cluster()
                        .crash(scenario.cluster().leader(), 3000));
            }
        }))) {
            assertTrue(
                    scenario.cluster().occurrences.get("leader changed") >= 8,
                    scenario.cluster().occurrences.toString());
            assertTrue(
                    scenario.history().maxMovesWithin(MOVE_WINDOW_MS) <= 16,
                    scenario.history().moves.toString());
            assertTrue(
                    scenario.history().minIntervalBetweenMovesMs() >= MOVE_WINDOW_MS,
                    scenario.history().moves.toString());
        }
    }

    @Test
    void aPartitionMovesDuringAMove() {
        play(scenario -> scenario.onFirstMove(move -> {
            scenario.cluster().crash(scenario.cluster().ownerOf(move.machine()), 5000);
            scenario.cluster().lateCopiesUntil = scenario.cluster().now + 30_000;
        }));
    }

    /**
     * Possible destinations are reclaimed by the cloud, hang or are isolated between the plan of a move and the restart of the
     * task.
     */
    @Test
    void destinationsFailDuringAMove() {
        play(scenario -> scenario.onFirstMove(
                move -> failSmallMachines(scenario, 4, id -> scenario.cluster().giveEvictionNotice(id, 20))));
        play(scenario -> scenario.onFirstMove(
                move -> failSmallMachines(scenario, 6, id -> scenario.cluster().hang(id, 12_000))));
        play(scenario -> scenario.onFirstMove(move ->
                failSmallMachines(scenario, 6, id -> scenario.cluster().network.cut(id, 15_000))));
    }

    private static void failSmallMachines(Scenario scenario, int count, Consumer<String> failure) {
        scenario.cluster().workers.stream()
                .filter(worker -> scenario.cluster().typeOf(worker.id).equals(SMALL.name()))
                .limit(count)
                .forEach(worker -> failure.accept(worker.id));
    }

    @Test
    void theMovingTaskIsCancelledOrItsMachineLost() {
        play(scenario -> scenario.onFirstMove(move -> scenario.cluster().users.cancel("wk-flexible")));
        play(scenario -> scenario.onFirstMove(move -> scenario.cluster().network.cut(move.machine(), 40_000)));
        play(scenario -> scenario.onFirstMove(move -> scenario.cluster().hang(move.machine(), 14_000)));
    }

    @Test
    void theStateServiceIsDownDuringAMove() {
        play(scenario -> scenario.onFirstMove(move -> scenario.cluster().state.outage(25_000)));
    }

    /** With one message in ten lost, many late bids are lost, too, so that not every scenario has a move. */
    @Test
    void oneMessageInTenIsLost() {
        int moves = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            Scenario scenario = create(seed, SHAPE);
            submitPeak(scenario.cluster());
            scenario.cluster().at(PEAK_START_MS, () -> scenario.cluster().network.loss = 0.1);
            scenario.cluster().at(PEAK_START_MS + 60_000, () -> scenario.cluster().network.loss = 0.002);
            settle(scenario, seed);
            moves += scenario.history().moves.size();
        }
        assertTrue(moves > 0, "no move with any seed");
    }

    /** One controller has load balancing disabled, the others enabled, and leadership changes between them. */
    @Test
    void leadersWithAndWithoutBalancing() {
        play(scenario -> {
            scenario.cluster().withoutBalancing.add("n1");
            scenario.cluster().crash("n1", 100);
            for (int at = 2000; at <= 8000; at += 2000) {
                scenario.cluster().at(at, () -> {
                    if (scenario.cluster().leader().equals("n1")) {
                        scenario.cluster().crash("n1", 3000);
                    }
                });
            }
            scenario.onFirstMove(
                    move -> scenario.cluster().crash(scenario.cluster().leader(), 4000));
        });
    }

    /**
     * Three cases in which no move has a gain: the cluster is balanced, all machines are full, or the load peak ends before a
     * move pays off.
     */
    @Test
    void nothingMovesWithoutGain() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            Scenario balanced = create(seed, SHAPE);
            balanced.cluster().at(PEAK_START_MS, () -> {
                balanced.cluster().users.submit("wk-1", "blue", 12, 4, 60);
                balanced.cluster().users.submit("wk-2", "red", Priority.HIGH, 6, 4, 60, false);
            });
            settle(balanced, seed);
            Scenario full = create(seed, SHAPE);
            full.cluster().at(PEAK_START_MS, () -> full.cluster().users.submit("wk-flexible", "blue", 50, 4, 60));
            full.cluster().at(PEAK_START_MS, () -> full.cluster().users.submit("wk-other", "red", 40, 4, 60));
            full.cluster().at(PEAK_START_MS + 10_000, () -> full.cluster()
                    .users
                    .submit("wk-bound", "red", Priority.HIGH, 2, 12, 30, false));
            settle(full, seed);
            Scenario brief = create(seed, SHAPE);
            brief.cluster().at(PEAK_START_MS, () -> brief.cluster().users.submit("wk-flexible", "blue", 40, 4, 14));
            brief.cluster().at(PEAK_START_MS + 10_000, () -> brief.cluster()
                    .users
                    .submit("wk-bound", "red", Priority.HIGH, 10, 12, 30, false));
            settle(brief, seed);
            for (Scenario scenario : List.of(balanced, full, brief)) {
                assertEquals(List.of(), scenario.history().moves, "seed " + seed);
            }
        }
    }

    /** Tasks that have run for long without checkpoints stay; tasks that have just started move instead. */
    @Test
    void theCheapTaskMovesAndTheCostlyOneStays() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            Scenario scenario = create(seed, SHAPE);
            SimulatedCluster cluster = scenario.cluster();
            cluster.at(
                    2000,
                    () -> cluster.users.submit(TestJob.named("wk-costly")
                            .team("blue")
                            .tasks(12)
                            .cpus(4)
                            .types(List.of(SMALL.name(), LARGE.name()))
                            .estimateS(PEAK_START_MS / 1000.0 + 40)
                            .build()));
            cluster.at(PEAK_START_MS, () -> cluster.users.submit("wk-cheap", "blue", 28, 4, FLEXIBLE_ESTIMATE_S));
            cluster.at(
                    PEAK_START_MS + 10_000,
                    () -> cluster.users.submit("wk-bound", "red", Priority.HIGH, 10, 12, 30, false));
            settle(scenario, seed);
            assertTrue(!scenario.history().moves.isEmpty(), "seed " + seed + ": no move");
            assertEquals(
                    List.of(),
                    scenario.history().moves.stream()
                            .filter(move -> move.task().job().equals("wk-costly"))
                            .toList(),
                    "seed " + seed);
        }
    }
}

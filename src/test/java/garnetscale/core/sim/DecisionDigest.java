package garnetscale.core.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetscale.core.state.Layouts;
import garnetscale.core.upgrade.UpgradeStep;
import garnetscale.core.upgrade.VersionRange;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.junit.jupiter.api.Test;

/**
 * Computes digests of all decisions of the controllers in some simulated scenarios, to show that a refactoring changed none: run
 * {@code mvn test -Dtest=DecisionDigest} before and after it. Its name keeps it out of default builds. The digests are printed
 * and written to target/decision-digest.txt. With {@code -Ddecisions.text=true}, the decisions themselves are written to
 * target/decisions-SCENARIO-SEED.txt, so that {@code diff} finds the first one that differs.
 */
class DecisionDigest {

    private static final Path TARGET = Path.of("target");
    private static final Path DIGESTS = TARGET.resolve("decision-digest.txt");
    private static final boolean WRITE_TEXT = Boolean.getBoolean("decisions.text");

    private static final List<Long> ORDINARY_SEEDS = List.of(1L, 2L, 3L, 4L);
    private static final long FLEET_SEED = 7;
    private static final long WATCH_SEED = 11;
    private static final long BALANCE_SEED = 1;
    private static final long UPGRADE_SEED = 1;

    private static final int ORDINARY_END_MS = 240_000;
    private static final int FLEET_END_MS = 120_000;
    private static final int FAILURES_FROM_MS = 5000;
    private static final int FAILURE_COUNT = 10;
    private static final int BALANCE_END_MS = 200_000;
    private static final int UPGRADE_END_MS = 150_000;
    private static final VersionRange OLD = VersionRange.FIRST;
    private static final VersionRange NEW = Layouts.SUPPORTED;

    /** Schedules the events of a scenario and runs it. */
    private interface Script {
        void play(SimulatedCluster cluster);
    }

    private final List<String> lines = new ArrayList<>();

    @Test
    void digests() throws IOException {
        Files.createDirectories(TARGET);
        for (long seed : ORDINARY_SEEDS) {
            record("ordinary", seed, ClusterShape.SMALL, DecisionDigest::playOrdinary);
        }
        record("fleet", FLEET_SEED, ClusterShape.THREE_ZONES, DecisionDigest::playFleet);
        record("watch", WATCH_SEED, ClusterShape.SMALL, DecisionDigest::playWatch);
        record("balance", BALANCE_SEED, BalanceSimulationTest.SHAPE, DecisionDigest::playBalance);
        record("upgrade", UPGRADE_SEED, ClusterShape.SMALL_VALUES, DecisionDigest::playUpgrade);
        Files.write(DIGESTS, lines);
    }

    private void record(String scenario, long seed, ClusterShape shape, Script script) throws IOException {
        SimulatedCluster cluster = new SimulatedCluster(seed, SimulatedCluster.Fault.NONE, shape);
        String line;
        if (WRITE_TEXT) {
            Path file = TARGET.resolve("decisions-" + scenario + "-" + seed + ".txt");
            try (BufferedWriter out = Files.newBufferedWriter(file);
                    PrintWriter text = new PrintWriter(out)) {
                line = play(scenario, seed, cluster, script, new DecisionRecorder(text::println));
            }
        } else {
            line = play(scenario, seed, cluster, script, new DecisionRecorder(text -> {}));
        }
        System.out.println(line);
        lines.add(line);
    }

    private static String play(
            String scenario, long seed, SimulatedCluster cluster, Script script, DecisionRecorder recorder) {
        cluster.decisionObserver = recorder;
        script.play(cluster);
        assertEquals(List.of(), cluster.rules.violations, scenario + " " + seed);
        assertTrue(
                recorder.transactionCount() > 0 && recorder.effectCount() > 0 && recorder.replyCount() > 0, scenario);
        return String.format(
                Locale.ROOT,
                "day=%s seed=%d transactions=%d effects=%d sha256=%s",
                scenario,
                seed,
                recorder.transactionCount(),
                recorder.effectCount(),
                recorder.finish());
    }

    private static void playOrdinary(SimulatedCluster cluster) {
        submitJobs(cluster, ORDINARY_END_MS / 2, 14, 12);
        scheduleFailures(cluster, ORDINARY_END_MS / 2);
        cluster.run(ORDINARY_END_MS);
    }

    private static void playFleet(SimulatedCluster cluster) {
        submitJobs(cluster, FLEET_END_MS / 2, 30, 120);
        scheduleFailures(cluster, FLEET_END_MS / 2);
        cluster.run(FLEET_END_MS);
    }

    /**
     * Controllers also watch the state service for changes, and its write rate is limited. Some transactions get no answer, a
     * machine hangs, another one gets an eviction notice, and the state service has an outage.
     */
    private static void playWatch(SimulatedCluster cluster) {
        cluster.watches = true;
        cluster.state.limitWrites();
        submitJobs(cluster, ORDINARY_END_MS / 2, 20, 12);
        cluster.at(20_000, () -> cluster.state.loseAnswers(20_000, 0.3, false));
        cluster.at(50_000, () -> cluster.state.loseAnswers(20_000, 0.3, true));
        cluster.at(75_000, () -> cluster.hang(cluster.workers.get(0).id, 12_000));
        cluster.at(80_000, () -> cluster.giveEvictionNotice(cluster.workers.get(1).id, 20));
        cluster.at(90_000, () -> cluster.state.outage(8000));
        scheduleFailures(cluster, ORDINARY_END_MS / 2);
        cluster.run(ORDINARY_END_MS);
    }

    private static void playBalance(SimulatedCluster cluster) {
        MoveHistory history = new MoveHistory(cluster);
        BalanceSimulationTest.submitPeak(cluster);
        cluster.run(BALANCE_END_MS);
        assertTrue(!history.moves.isEmpty(), "load balancing moved no task");
    }

    /** A rolling upgrade, activation and deactivation, with failures meanwhile. */
    private static void playUpgrade(SimulatedCluster cluster) {
        cluster.nodes.forEach(node -> UpgradeSimulationTest.restart(cluster, node, OLD, 50));
        submitJobs(cluster, UPGRADE_END_MS / 2, 20, 300);
        for (int i = 0; i < cluster.nodes.size(); i++) {
            SimulatedNode node = cluster.nodes.get(i);
            cluster.at(20_000 + 3000 * i, () -> UpgradeSimulationTest.restart(cluster, node, NEW, 1000));
        }
        for (long at = 45_000; at < UPGRADE_END_MS - 30_000; at += 15_000) {
            cluster.at(at, () -> UpgradeSimulationTest.injectFailure(cluster));
        }
        for (long at = 30_000; at < UPGRADE_END_MS; at += 2500) {
            UpgradeStep step = at / 30_000 % 2 == 1 ? UpgradeStep.ACTIVATE : UpgradeStep.DEACTIVATE;
            cluster.at(at, () -> cluster.upgrade(step));
        }
        boolean activated = false;
        for (long t = 1000; t <= UPGRADE_END_MS; t += 1000) {
            cluster.run(t);
            activated |= cluster.stored().version().active() == NEW.latest();
        }
        assertTrue(activated, "the new version was never active");
    }

    private static void submitJobs(SimulatedCluster cluster, int until, int count, int maxTasks) {
        for (int i = 0; i < count; i++) {
            String job = "wk-" + i;
            String team = cluster.random.nextBoolean() ? "red" : "blue";
            int tasks = 1 + cluster.random.nextInt(maxTasks);
            double cpus = 1 + cluster.random.nextInt(4);
            double seconds = 1 + cluster.random.nextInt(25);
            cluster.at(cluster.random.nextInt(until), () -> cluster.users.submit(job, team, tasks, cpus, seconds));
            if (cluster.random.nextInt(8) == 0) {
                cluster.failingJobs.add(job);
            } else if (cluster.random.nextInt(4) == 0) {
                cluster.at(cluster.random.nextInt(until) + 20_000, () -> cluster.users.cancel(job));
            }
        }
    }

    private static void scheduleFailures(SimulatedCluster cluster, int until) {
        for (int i = 0; i < FAILURE_COUNT; i++) {
            int at = FAILURES_FROM_MS + cluster.random.nextInt(until - FAILURES_FROM_MS);
            cluster.at(at, () -> SimulationTest.injectFailure(cluster));
        }
    }
}

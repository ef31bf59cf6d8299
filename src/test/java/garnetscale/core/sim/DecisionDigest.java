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
 * Computes digests of all decisions of the controllers on some simulated days, to show that a refactoring changed none: {@code mvn
 * test -Dtest=DecisionDigest}, before and after. Not run by default, for its name. The digests are printed and written to
 * target/decision-digest.txt. With {@code -Ddecisions.text=true}, the decisions themselves are written to
 * target/decisions-DAY-SEED.txt, so that the first different one can be found with {@code diff}.
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

    private static final int ORDINARY_END = 240_000;
    private static final int FLEET_END = 120_000;
    private static final int FAILURES_FROM_MS = 5000;
    private static final int FAILURE_COUNT = 10;
    private static final int BALANCE_END = 200_000;
    private static final int UPGRADE_END = 150_000;
    private static final VersionRange OLD = VersionRange.FIRST;
    private static final VersionRange NEW = Layouts.SUPPORTED;

    /** What happens on a day, and until when it is played. */
    private interface Script {
        void play(SimulatedCluster cluster);
    }

    private final List<String> lines = new ArrayList<>();

    @Test
    void digests() throws IOException {
        Files.createDirectories(TARGET);
        for (long seed : ORDINARY_SEEDS) {
            record("ordinary", seed, ClusterShape.SMALL, DecisionDigest::ordinaryDay);
        }
        record("fleet", FLEET_SEED, ClusterShape.THREE_ZONES, DecisionDigest::fleetDay);
        record("watch", WATCH_SEED, ClusterShape.SMALL, DecisionDigest::watchDay);
        record("balance", BALANCE_SEED, BalanceSimulationTest.SHAPE, DecisionDigest::balanceDay);
        record("upgrade", UPGRADE_SEED, ClusterShape.SMALL_VALUES, DecisionDigest::upgradeDay);
        Files.write(DIGESTS, lines);
    }

    private void record(String day, long seed, ClusterShape shape, Script script) throws IOException {
        SimulatedCluster cluster = new SimulatedCluster(seed, SimulatedCluster.Fault.NONE, shape);
        String line;
        if (WRITE_TEXT) {
            Path file = TARGET.resolve("decisions-" + day + "-" + seed + ".txt");
            try (BufferedWriter out = Files.newBufferedWriter(file);
                    PrintWriter text = new PrintWriter(out)) {
                line = play(day, seed, cluster, script, new DecisionRecorder(text::println));
            }
        } else {
            line = play(day, seed, cluster, script, new DecisionRecorder(text -> {}));
        }
        System.out.println(line);
        lines.add(line);
    }

    private static String play(
            String day, long seed, SimulatedCluster cluster, Script script, DecisionRecorder recorder) {
        cluster.decisions = recorder;
        script.play(cluster);
        assertEquals(List.of(), cluster.rules.violations, day + " " + seed);
        assertTrue(recorder.transactionCount() > 0 && recorder.effectCount() > 0 && recorder.replyCount() > 0, day);
        return String.format(
                Locale.ROOT,
                "day=%s seed=%d transactions=%d effects=%d sha256=%s",
                day,
                seed,
                recorder.transactionCount(),
                recorder.effectCount(),
                recorder.finish());
    }

    private static void ordinaryDay(SimulatedCluster cluster) {
        submitJobs(cluster, ORDINARY_END / 2, 14, 12);
        scheduleFailures(cluster, ORDINARY_END / 2);
        cluster.run(ORDINARY_END);
    }

    private static void fleetDay(SimulatedCluster cluster) {
        submitJobs(cluster, FLEET_END / 2, 30, 120);
        scheduleFailures(cluster, FLEET_END / 2);
        cluster.run(FLEET_END);
    }

    /** Watches besides short requests, limited writes, transactions without an answer, machines that hang or are taken away. */
    private static void watchDay(SimulatedCluster cluster) {
        cluster.watches = true;
        cluster.state.limitWrites();
        submitJobs(cluster, ORDINARY_END / 2, 20, 12);
        cluster.at(20_000, () -> cluster.state.late(20_000, 0.3, false));
        cluster.at(50_000, () -> cluster.state.late(20_000, 0.3, true));
        cluster.at(75_000, () -> cluster.hang(cluster.workers.get(0).id, 12_000));
        cluster.at(80_000, () -> cluster.drain(cluster.workers.get(1).id, 20));
        cluster.at(90_000, () -> cluster.state.outage(8000));
        scheduleFailures(cluster, ORDINARY_END / 2);
        cluster.run(ORDINARY_END);
    }

    private static void balanceDay(SimulatedCluster cluster) {
        MoveHistory history = new MoveHistory(cluster);
        BalanceSimulationTest.swell(cluster);
        cluster.run(BALANCE_END);
        assertTrue(!history.moves.isEmpty(), "load balancing moved nothing");
    }

    /** A rolling upgrade, activation and the way back, with failures meanwhile. */
    private static void upgradeDay(SimulatedCluster cluster) {
        cluster.nodes.forEach(node -> UpgradeSimulationTest.start(cluster, node, OLD, 50));
        submitJobs(cluster, UPGRADE_END / 2, 20, 300);
        for (int i = 0; i < cluster.nodes.size(); i++) {
            SimulatedNode node = cluster.nodes.get(i);
            cluster.at(20_000 + 3000 * i, () -> UpgradeSimulationTest.start(cluster, node, NEW, 1000));
        }
        for (long at = 45_000; at < UPGRADE_END - 30_000; at += 15_000) {
            cluster.at(at, () -> UpgradeSimulationTest.injectFailure(cluster));
        }
        for (long at = 30_000; at < UPGRADE_END; at += 2500) {
            UpgradeStep step = at / 30_000 % 2 == 1 ? UpgradeStep.ACTIVATE : UpgradeStep.DEACTIVATE;
            cluster.at(at, () -> cluster.upgrade(step));
        }
        boolean activated = false;
        for (long t = 1000; t <= UPGRADE_END; t += 1000) {
            cluster.run(t);
            activated |= cluster.stored().version().active() == NEW.latest();
        }
        assertTrue(activated, "the new version was never active");
    }

    private static void submitJobs(SimulatedCluster cluster, int until, int count, int mostTasks) {
        for (int i = 0; i < count; i++) {
            String job = "wk-" + i;
            String team = cluster.random.nextBoolean() ? "red" : "blue";
            int tasks = 1 + cluster.random.nextInt(mostTasks);
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

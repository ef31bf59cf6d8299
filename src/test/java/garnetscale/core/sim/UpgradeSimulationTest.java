package garnetscale.core.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetscale.core.state.Layouts;
import garnetscale.core.upgrade.ClusterVersion;
import garnetscale.core.upgrade.UpgradeDecision;
import garnetscale.core.upgrade.UpgradeStep;
import garnetscale.core.upgrade.VersionRange;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * Controllers of mixed versions under steady load: a rolling upgrade, activation and deactivation in turn, and finalization,
 * while controllers crash, restart with the earlier program, freeze or are isolated. {@link ProtocolRules} checks the rules, and
 * {@link SimulatedStateService} that no controller writes while a layout version is active that it doesn't support.
 */
class UpgradeSimulationTest {

    private static final int SEEDS = Integer.getInteger("upgrade.seeds", 6);
    private static final long FAILURES_END_MS = 300_000;
    private static final long END_MS = 500_000;
    private static final VersionRange OLD = VersionRange.FIRST;
    private static final VersionRange NEW = Layouts.SUPPORTED;

    private final List<String> jobs = new ArrayList<>();
    private final Map<String, Integer> occurrences = new TreeMap<>();

    private SimulatedCluster playScenario(long seed) {
        jobs.clear();
        SimulatedCluster cluster = new SimulatedCluster(seed, SimulatedCluster.Fault.NONE, ClusterShape.SMALL_VALUES);
        cluster.nodes.forEach(node -> {
            cluster.install(node.name, OLD);
            node.crash(50);
        });
        for (int i = 0; i < 60; i++) {
            String id = "wk-" + i;
            jobs.add(id);
            int tasks = 50 + cluster.random.nextInt(500);
            double seconds = 2 + cluster.random.nextInt(20);
            String team = i % 2 == 0 ? "red" : "blue";
            cluster.at(5000 + i * FAILURES_END_MS / 60, () -> cluster.users.submit(id, team, tasks, 0.5, seconds));
            if (i % 9 == 0) {
                cluster.at(9000 + i * FAILURES_END_MS / 60, () -> cluster.users.cancel(id));
            }
        }
        for (int i = 0; i < cluster.nodes.size(); i++) {
            SimulatedNode node = cluster.nodes.get(i);
            cluster.at(20_000 + 3000 * i, () -> restart(cluster, node, NEW, 1000));
        }
        for (long at = 40_000; at < FAILURES_END_MS; at += 8000) {
            cluster.at(at, () -> injectFailure(cluster));
        }
        // Steps are requested every 2.5 s, as by an operator who gets no answer; the direction changes every 30 s.
        for (long at = 30_000; at < FAILURES_END_MS; at += 2500) {
            UpgradeStep step = at / 30_000 % 2 == 1 ? UpgradeStep.ACTIVATE : UpgradeStep.DEACTIVATE;
            cluster.at(at, () -> request(cluster, step));
        }
        cluster.at(FAILURES_END_MS, () -> cluster.nodes.forEach(node -> restart(cluster, node, NEW, 500)));
        for (long at = FAILURES_END_MS + 30_000; at < END_MS; at += 3000) {
            cluster.at(at, () -> {
                request(cluster, UpgradeStep.ACTIVATE);
                if (cluster.stored().version().active() == NEW.latest()) {
                    request(cluster, UpgradeStep.FINALIZE);
                }
            });
        }
        run(cluster);
        cluster.occurrences.forEach((event, times) -> occurrences.merge(event, times, Integer::sum));
        return cluster;
    }

    /** Runs the scenario, and counts changes and stored layouts that it observes once a second. */
    private void run(SimulatedCluster cluster) {
        ClusterVersion before = ClusterVersion.FIRST;
        for (long t = 1000; t <= END_MS; t += 1000) {
            cluster.run(t);
            ClusterVersion version = cluster.stored().version();
            if (version.active() > before.active()) {
                cluster.countOccurrence("activated");
            } else if (version.active() < before.active()) {
                cluster.countOccurrence("deactivated");
            }
            if (cluster.stored().layout() > version.active()) {
                cluster.countOccurrence("observed during conversion back");
            }
            if (version.active() > Layouts.FIRST && cluster.stored().layout() > Layouts.FIRST) {
                cluster.countOccurrence("observed in the second layout");
            }
            before = version;
        }
    }

    private void request(SimulatedCluster cluster, UpgradeStep step) {
        if (cluster.upgrade(step) instanceof UpgradeDecision.Refused) {
            cluster.countOccurrence(step + " refused");
        }
    }

    /** Crashes a controller, which restarts with a program that supports these layout versions. */
    static void restart(SimulatedCluster cluster, SimulatedNode node, VersionRange layouts, long downMs) {
        cluster.install(node.name, layouts);
        node.crash(downMs);
    }

    /** Injects a random failure; in four of ten cases it is a restart with the new program. */
    static void injectFailure(SimulatedCluster cluster) {
        SimulatedNode node = cluster.nodes.get(cluster.random.nextInt(cluster.nodes.size()));
        int ms = 1000 + cluster.random.nextInt(15_000);
        switch (cluster.random.nextInt(10)) {
            case 0, 1, 2, 3 -> restart(cluster, node, NEW, cluster.random.nextInt(3000));
            // Rolled back, perhaps during a conversion or after the activation, and upgraded again.
            case 4 -> {
                restart(cluster, node, OLD, cluster.random.nextInt(3000));
                cluster.at(7000, () -> restart(cluster, node, NEW, cluster.random.nextInt(3000)));
            }
            // Paused, not crashed: it resumes with its earlier state, also as leader.
            case 5 -> cluster.network.freeze(cluster.leader(), ms);
            case 6 -> cluster.network.cutFromAllButWorkers(node.name, ms);
            case 7 -> cluster.state.outage(ms);
            // Transactions without an answer, activations among them, are applied at once or late.
            case 8 -> cluster.state.loseAnswers(ms, 0.5, cluster.random.nextBoolean());
            default -> cluster.crash(cluster.leader(), cluster.random.nextInt(3000));
        }
    }

    @Test
    void mixedVersionsKeepTheRulesThroughUpgradeAndRollback() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            SimulatedCluster cluster = playScenario(seed);
            assertEquals(List.of(), cluster.rules.violations, "seed " + seed);
            assertEquals(List.of(), cluster.state.model.oversized(), "seed " + seed);
            for (String job : jobs) {
                assertTrue(cluster.users.poll(job), "seed " + seed + ": not terminal: " + job);
            }
            assertEquals(
                    new ClusterVersion(NEW.latest(), NEW.latest()),
                    cluster.stored().version(),
                    "seed " + seed);
            assertEquals(Layouts.SPLIT_SNAPSHOT, cluster.stored().layout(), "seed " + seed);
        }
        for (String event : List.of(
                "activated",
                "deactivated",
                "stored layout not supported",
                "observed during conversion back",
                "observed in the second layout",
                "ACTIVATE refused",
                "DEACTIVATE refused")) {
            assertTrue(occurrences.getOrDefault(event, 0) >= SEEDS / 2, event + " occurred too seldom: " + occurrences);
        }
    }
}

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
 * Controllers of mixed versions under steady work: a rolling upgrade, activation, back again, on again and finalized, with
 * controllers that crash, come back with the program of before, freeze or are isolated. The rules are checked from outside, and
 * so is that nobody writes while a version is active that it doesn't support.
 */
class UpgradeSimulationTest {

    private static final int SEEDS = Integer.getInteger("upgrade.seeds", 6);
    private static final long FAILURES_END_MS = 300_000;
    private static final long END = 500_000;
    private static final VersionRange OLD = VersionRange.FIRST;
    private static final VersionRange NEW = Layouts.SUPPORTED;

    private final List<String> jobs = new ArrayList<>();
    private final Map<String, Integer> occurrences = new TreeMap<>();

    private SimulatedCluster day(long seed) {
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
            cluster.at(20_000 + 3000 * i, () -> start(cluster, node, NEW, 1000));
        }
        for (long at = 40_000; at < FAILURES_END_MS; at += 8000) {
            cluster.at(at, () -> injectFailure(cluster));
        }
        // Asked for again and again, as by somebody who got no answer; the direction changes every now and then.
        for (long at = 30_000; at < FAILURES_END_MS; at += 2500) {
            UpgradeStep step = at / 30_000 % 2 == 1 ? UpgradeStep.ACTIVATE : UpgradeStep.DEACTIVATE;
            cluster.at(at, () -> ask(cluster, step));
        }
        cluster.at(FAILURES_END_MS, () -> cluster.nodes.forEach(node -> start(cluster, node, NEW, 500)));
        for (long at = FAILURES_END_MS + 30_000; at < END; at += 3000) {
            cluster.at(at, () -> {
                ask(cluster, UpgradeStep.ACTIVATE);
                if (cluster.stored().version().active() == NEW.latest()) {
                    ask(cluster, UpgradeStep.FINALIZE);
                }
            });
        }
        play(cluster);
        cluster.occurrences.forEach((what, times) -> occurrences.merge(what, times, Integer::sum));
        return cluster;
    }

    private void play(SimulatedCluster cluster) {
        ClusterVersion before = ClusterVersion.FIRST;
        for (long t = 1000; t <= END; t += 1000) {
            cluster.run(t);
            ClusterVersion version = cluster.stored().version();
            if (version.active() > before.active()) {
                cluster.countOccurrence("activated");
            } else if (version.active() < before.active()) {
                cluster.countOccurrence("deactivated");
            }
            if (cluster.stored().layout() > version.active()) {
                cluster.countOccurrence("seen while it was converted back");
            }
            if (version.active() > Layouts.FIRST && cluster.stored().layout() > Layouts.FIRST) {
                cluster.countOccurrence("seen in the second layout");
            }
            before = version;
        }
    }

    private void ask(SimulatedCluster cluster, UpgradeStep step) {
        if (cluster.upgrade(step) instanceof UpgradeDecision.Refused) {
            cluster.countOccurrence(step + " refused");
        }
    }

    /** The node's process ends and is started again with a program that supports these versions. */
    static void start(SimulatedCluster cluster, SimulatedNode node, VersionRange layouts, long downMs) {
        cluster.install(node.name, layouts);
        node.crash(downMs);
    }

    static void injectFailure(SimulatedCluster cluster) {
        SimulatedNode node = cluster.nodes.get(cluster.random.nextInt(cluster.nodes.size()));
        int ms = 1000 + cluster.random.nextInt(15_000);
        switch (cluster.random.nextInt(10)) {
            case 0, 1, 2, 3 -> start(cluster, node, NEW, cluster.random.nextInt(3000));
            // Rolled back, perhaps in the middle of a conversion, or come back after the switch.
            case 4 -> {
                start(cluster, node, OLD, cluster.random.nextInt(3000));
                cluster.at(7000, () -> start(cluster, node, NEW, cluster.random.nextInt(3000)));
            }
            // Paused and not dead: it wakes with what it knew before, also as the leader.
            case 5 -> cluster.network.freeze(cluster.leader(), ms);
            case 6 -> cluster.network.cutFromAllButWorkers(node.name, ms);
            case 7 -> cluster.state.outage(ms);
            // Transactions without an answer, among them activations, carried out at once or late.
            case 8 -> cluster.state.late(ms, 0.5, cluster.random.nextBoolean());
            default -> cluster.crash(cluster.leader(), cluster.random.nextInt(3000));
        }
    }

    @Test
    void mixedVersionsKeepTheRulesThroughUpgradeAndRollback() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            SimulatedCluster cluster = day(seed);
            assertEquals(List.of(), cluster.rules.violations, "seed " + seed);
            assertEquals(List.of(), cluster.state.model.oversized(), "seed " + seed);
            for (String job : jobs) {
                assertTrue(cluster.users.poll(job), "seed " + seed + ": never over: " + job);
            }
            assertEquals(
                    new ClusterVersion(NEW.latest(), NEW.latest()),
                    cluster.stored().version(),
                    "seed " + seed);
            assertEquals(Layouts.SPLIT_SNAPSHOT, cluster.stored().layout(), "seed " + seed);
        }
        for (String what : List.of(
                "activated",
                "deactivated",
                "stood aside",
                "seen while it was converted back",
                "seen in the second layout",
                "ACTIVATE refused",
                "DEACTIVATE refused")) {
            assertTrue(occurrences.getOrDefault(what, 0) >= SEEDS / 2, what + " came about too seldom: " + occurrences);
        }
    }
}

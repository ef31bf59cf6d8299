package garnetscale.core.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetscale.core.upgrade.UpgradeDecision;
import garnetscale.core.upgrade.UpgradeStep;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Measures in simulated time how long activation and conversion take, and the longest pause between starts of tasks meanwhile:
 * {@code mvn test -Dtest=UpgradeMeasurement}. Its name keeps it out of default builds.
 */
class UpgradeMeasurement {

    private static final List<Integer> MACHINE_COUNTS = List.of(200, 1600, 4000);
    private static final int SEEDS = 3;
    private static final long LOAD_FROM_MS = 5000;
    private static final long ACTIVATE_AT_MS = 40_000;
    private static final long LOAD_UNTIL_MS = 75_000;
    private static final long DEACTIVATE_AT_MS = 100_000;
    private static final long END_MS = 300_000;
    private static final int STEP_MS = 50;

    private long longestPauseMs;
    private long lastStartAt;
    private int starts;

    @Test
    void activationAndConversion() {
        for (int machines : MACHINE_COUNTS) {
            for (long seed = 1; seed <= SEEDS; seed++) {
                measure(machines, seed);
            }
        }
    }

    private void measure(int machines, long seed) {
        ClusterShape shape = new ClusterShape(5, List.of("a", "b"), machines, 16 * 1024);
        SimulatedCluster cluster = new SimulatedCluster(seed, SimulatedCluster.Fault.NONE, shape);
        cluster.state.limitWrites();
        for (long at = LOAD_FROM_MS; at < LOAD_UNTIL_MS; at += 1000) {
            String id = "wk-" + at;
            String team = at % 2000 == 0 ? "red" : "blue";
            cluster.at(at, () -> cluster.users.submit(id, team, machines / 2, 0.5, 8));
        }
        run(cluster, ACTIVATE_AT_MS);
        long pauseBeforeMs = longestPauseMs;
        resetPause(cluster);
        long activationMs = perform(cluster, UpgradeStep.ACTIVATE, ACTIVATE_AT_MS);
        run(cluster, LOAD_UNTIL_MS);
        long pauseAfterMs = longestPauseMs;
        int layout = cluster.stored().layout();
        run(cluster, DEACTIVATE_AT_MS);
        long deactivationMs = perform(cluster, UpgradeStep.DEACTIVATE, DEACTIVATE_AT_MS);
        while (!cluster.stored().isConverted() && cluster.now < END_MS) {
            run(cluster, cluster.now + STEP_MS);
        }
        assertTrue(cluster.stored().isConverted());
        assertEquals(List.of(), cluster.rules.violations);
        System.out.printf(
                "machines %d seed %d: layout %d, activation %d ms, longest pause between starts %d ms before, %d ms after,"
                        + " deactivation %d ms, converted after %d ms, %d starts, %d refused%n",
                machines,
                seed,
                layout,
                activationMs,
                pauseBeforeMs,
                pauseAfterMs,
                deactivationMs,
                cluster.now - DEACTIVATE_AT_MS,
                cluster.rules.starts,
                cluster.state.refusedWrites);
    }

    private void resetPause(SimulatedCluster cluster) {
        longestPauseMs = 0;
        lastStartAt = cluster.now;
    }

    /** Requests a step until it is done; returns the milliseconds since {@code requestedAt}. */
    private long perform(SimulatedCluster cluster, UpgradeStep step, long requestedAt) {
        while (!(cluster.upgrade(step) instanceof UpgradeDecision.Done) && cluster.now < END_MS) {
            run(cluster, cluster.now + STEP_MS);
        }
        return cluster.now - requestedAt;
    }

    /** Runs until a time and updates the longest pause between starts; pauses in the first 5 s of load don't count. */
    private void run(SimulatedCluster cluster, long until) {
        while (cluster.now < until) {
            cluster.run(Math.min(until, cluster.now + STEP_MS));
            if (cluster.rules.starts > starts) {
                starts = cluster.rules.starts;
                longestPauseMs =
                        cluster.now > 2 * LOAD_FROM_MS ? Math.max(longestPauseMs, cluster.now - lastStartAt) : 0;
                lastStartAt = cluster.now;
            }
        }
        starts = cluster.rules.starts;
    }
}

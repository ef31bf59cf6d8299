package garnetscale.core.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetscale.core.upgrade.UpgradeDecision;
import garnetscale.core.upgrade.UpgradeStep;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * How long activation and conversion take, and the longest pause between starts meanwhile, in simulated time. Not run by
 * default, for its name: {@code mvn test -Dtest=UpgradeMeasurement}.
 */
class UpgradeMeasurement {

    private static final List<Integer> SIZES = List.of(200, 1600, 4000);
    private static final int SEEDS = 3;
    private static final long LOAD_FROM = 5000;
    private static final long ACTIVATE_AT = 40_000;
    private static final long LOAD_UNTIL = 75_000;
    private static final long DEACTIVATE_AT = 100_000;
    private static final long END = 300_000;
    private static final int STEP = 50;

    private long longestPause;
    private long lastStartAt;
    private int starts;

    @Test
    void activationAndConversion() {
        for (int size : SIZES) {
            for (long seed = 1; seed <= SEEDS; seed++) {
                measure(size, seed);
            }
        }
    }

    private void measure(int size, long seed) {
        ClusterShape shape = new ClusterShape(5, List.of("a", "b"), size, 16 * 1024);
        SimulatedCluster cluster = new SimulatedCluster(seed, SimulatedCluster.Fault.NONE, shape);
        cluster.state.limitWrites();
        for (long at = LOAD_FROM; at < LOAD_UNTIL; at += 1000) {
            String id = "wk-" + at;
            String team = at % 2000 == 0 ? "red" : "blue";
            cluster.at(at, () -> cluster.users.submit(id, team, size / 2, 0.5, 8));
        }
        run(cluster, ACTIVATE_AT);
        long before = longestPause;
        restart(cluster);
        long activated = carryOut(cluster, UpgradeStep.ACTIVATE, ACTIVATE_AT);
        run(cluster, LOAD_UNTIL);
        long after = longestPause;
        int most = cluster.stored().layout();
        run(cluster, DEACTIVATE_AT);
        long deactivated = carryOut(cluster, UpgradeStep.DEACTIVATE, DEACTIVATE_AT);
        while (!cluster.stored().isConverted() && cluster.now < END) {
            run(cluster, cluster.now + STEP);
        }
        assertTrue(cluster.stored().isConverted());
        assertEquals(List.of(), cluster.rules.violations);
        System.out.printf(
                "machines %d seed %d: layout %d, activation %d ms, longest pause between starts %d ms before, %d ms after,"
                        + " deactivation %d ms, converted after %d ms, %d starts, %d refused%n",
                size,
                seed,
                most,
                activated,
                before,
                after,
                deactivated,
                cluster.now - DEACTIVATE_AT,
                cluster.rules.starts,
                cluster.state.refusedWrites);
    }

    private void restart(SimulatedCluster cluster) {
        longestPause = 0;
        lastStartAt = cluster.now;
    }

    /** Asks until the step is done, and says how long that took. */
    private long carryOut(SimulatedCluster cluster, UpgradeStep step, long askedAt) {
        while (!(cluster.upgrade(step) instanceof UpgradeDecision.Done) && cluster.now < END) {
            run(cluster, cluster.now + STEP);
        }
        return cluster.now - askedAt;
    }

    private void run(SimulatedCluster cluster, long until) {
        while (cluster.now < until) {
            cluster.run(Math.min(until, cluster.now + STEP));
            if (cluster.rules.starts > starts) {
                starts = cluster.rules.starts;
                longestPause = cluster.now > 2 * LOAD_FROM ? Math.max(longestPause, cluster.now - lastStartAt) : 0;
                lastStartAt = cluster.now;
            }
        }
        starts = cluster.rules.starts;
    }
}

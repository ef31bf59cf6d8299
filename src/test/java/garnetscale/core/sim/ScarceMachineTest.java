package garnetscale.core.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetscale.core.job.Priority;
import garnetscale.core.job.TestJob;
import garnetscale.core.machine.MachineType;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * A large job that is bound to one zone loses its machine and waits. The large machine of the other zone must go on with a started,
 * less urgent job meanwhile; it stood empty for as long as the large job waited. One of the three controllers crashes.
 */
class ScarceMachineTest {

    private static final int SEEDS = 6;
    private static final List<String> ZONES = List.of("a", "b");
    private static final MachineType SMALL = new MachineType("small", 8, 0, 32, 20, 1, 1, 0.5, 20, ZONES);
    private static final MachineType LARGE = new MachineType("large", 32, 0, 128, 20, 1, 1, 0.5, 20, ZONES);
    /** The large machines of zones a and b. */
    private static final String LOST = "m-000002";

    private static final String OTHER = "m-000003";
    private static final String STARTED_JOB = "wk-3";
    private static final long LOST_AT_MS = 10_000;
    private static final long END_MS = 150_000;
    /** Longest time for which the machine may be empty while the started job waits; enough for a new owner to take over. */
    private static final long MAX_EMPTY_MS = 10_000;

    /** Measures for how long the machine is empty while tasks of the started job wait. */
    private static final class EmptyTime {
        private long emptySince = LOST_AT_MS;
        private long longestEmptyMs;

        private void observe(SimulatedCluster cluster) {
            boolean isEmpty = !cluster.rules.running().containsValue(OTHER);
            boolean isWaiting = cluster.stored().job(STARTED_JOB) != null
                    && cluster.stored().job(STARTED_JOB).unstartedCount() > 0;
            if (!isEmpty || !isWaiting) {
                emptySince = cluster.now;
            }
            longestEmptyMs = Math.max(longestEmptyMs, cluster.now - emptySince);
        }
    }

    private static void submit(SimulatedCluster cluster) {
        cluster.users.submit(TestJob.named("wk-1")
                .priority(Priority.HIGH)
                .types(List.of("small"))
                .tasks(4)
                .cpus(8)
                .estimateS(600)
                .build());
        cluster.users.submit(TestJob.named("wk-2")
                .priority(Priority.HIGH)
                .zone("a")
                .tasks(2)
                .cpus(16)
                .estimateS(600)
                .build());
        cluster.at(
                3000,
                () -> cluster.users.submit(TestJob.named(STARTED_JOB)
                        .tasks(48)
                        .cpus(4)
                        .estimateS(12)
                        .build()));
    }

    @Test
    void aMachineThatTheWaitingJobCannotUseGetsOtherWork() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            SimulatedCluster cluster = new SimulatedCluster(
                    seed, SimulatedCluster.Fault.NONE, ClusterShape.SMALL.withTypes(List.of(SMALL, LARGE)));
            EmptyTime empty = new EmptyTime();
            cluster.at(1000, () -> submit(cluster));
            cluster.at(LOST_AT_MS, () -> cluster.network.cut(LOST, END_MS));
            cluster.at(
                    LOST_AT_MS + cluster.random.nextInt(30_000),
                    () -> cluster.crash("n" + cluster.random.nextInt(3), 3000));
            for (long time = LOST_AT_MS; time < END_MS; time += 500) {
                cluster.at(time, () -> empty.observe(cluster));
            }
            cluster.run(END_MS);
            assertEquals(List.of(), cluster.rules.violations, "seed " + seed);
            assertTrue(cluster.stored().job("wk-2").unstartedCount() > 0, "the large job doesn't wait, seed " + seed);
            assertTrue(empty.longestEmptyMs <= MAX_EMPTY_MS, "empty for " + empty.longestEmptyMs + " ms, seed " + seed);
            assertTrue(cluster.rules.isComplete(STARTED_JOB), "seed " + seed);
        }
    }
}

package garnetscale.core.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetscale.core.state.Layouts;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Five controllers and 4,000 machines in simulated time: a start of the whole cluster, steady load, a crash of the leader, the
 * cancellation of a job with several thousand tasks, and one controller that owns all machines. The state service refuses values
 * and transactions that exceed its limits of size and rate; the controllers must send none that it refuses.
 */
class FourThousandMachinesTest {

    private static final int MACHINES = ClusterShape.FOUR_THOUSAND.workers();
    private static final long END_MS = 150_000;

    private final SimulatedCluster cluster =
            new SimulatedCluster(41, SimulatedCluster.Fault.NONE, ClusterShape.FOUR_THOUSAND);
    private final List<String> jobs = new ArrayList<>();

    private void submit(long at, String id, int tasks, double seconds) {
        jobs.add(id);
        cluster.at(at, () -> cluster.users.submit(id, tasks % 2 == 0 ? "red" : "blue", tasks, 1, seconds));
    }

    @Test
    void fourThousandMachinesKeepTheRulesWithinTheLimits() {
        cluster.state.limitWrites();
        for (int i = 0; i < 12; i++) {
            submit(5000 + 2500 * i, "wk-" + i, 1000 + i, 20 + i);
        }
        submit(8000, "wk-large", 2 * MACHINES, 40);
        cluster.at(30_000, () -> cluster.crash(cluster.leader(), 5000));
        cluster.at(45_000, () -> cluster.users.cancel("wk-large"));
        cluster.at(60_000, () -> cluster.nodes.subList(1, 5).forEach(node -> node.crash(15_000)));
        long completedAt = 0;
        for (long t = 5000; t <= END_MS && completedAt == 0; t += 5000) {
            cluster.run(t);
            long now = t;
            List<String> submitted =
                    jobs.stream().filter(cluster.rules.jobs::containsKey).toList();
            if (submitted.size() == jobs.size() && submitted.stream().allMatch(cluster.users::poll)) {
                completedAt = now;
            }
        }
        assertEquals(List.of(), cluster.rules.violations);
        assertTrue(completedAt > 0, "not all jobs are terminal after " + END_MS + " ms");
        assertEquals(List.of(), cluster.state.model.oversized());
        assertEquals(0, cluster.state.refusedWrites);
        assertTrue(cluster.rules.starts > 3 * MACHINES, "only " + cluster.rules.starts + " starts");
        assertEquals(Layouts.SPLIT_SNAPSHOT, cluster.stored().layout());
    }
}

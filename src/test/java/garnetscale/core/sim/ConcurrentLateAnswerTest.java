package garnetscale.core.sim;

import static garnetscale.core.sim.ConcurrentFailures.SEEDS;
import static garnetscale.core.sim.ConcurrentFailures.assertOccurred;
import static garnetscale.core.sim.ConcurrentFailures.play;

import garnetscale.core.job.TestJob;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Answers of the state service that are a few hundred milliseconds late while the leader fails over. See {@link ConcurrentFailures}. */
class ConcurrentLateAnswerTest {

    private static final int MACHINES = 6;
    /** More than half of a machine. */
    private static final double TASK_CPUS = 5;

    private static final double LONG_TASK_S = 400;

    /**
     * The leader crashes, and a new owner publishes the status of idle machines before the new leader's replica shows the owner's
     * lease. The leader dropped the status and never learned of the machines, so that jobs waited beside them without end.
     */
    @Test
    void newOwnersPublishIdleMachinesBeforeTheLeaderSeesTheirLeases() {
        Map<String, Integer> occurred = play(2 * SEEDS, cluster -> {
            // A message between controllers is lost only with its connection.
            cluster.network.loss = 0;
            cluster.state.maxLateAfterLeasesMs = 400;
            cluster.at(15_000, () -> cluster.crash(cluster.leader(), 3000));
            cluster.at(40_000, () -> submitOneTaskForEachMachine(cluster));
            cluster.at(140_000, () -> cluster.rules.jobs.keySet().forEach(cluster.users::cancel));
        });
        assertOccurred(occurred, 2 * SEEDS, "status before its lease");
    }

    /** Submits a job for each machine, which only this machine has room for once the others have theirs. */
    private static void submitOneTaskForEachMachine(SimulatedCluster cluster) {
        for (int i = 0; i < MACHINES; i++) {
            cluster.users.submit(TestJob.named("wk-" + i)
                    .team(i % 3 == 0 ? "blue" : "red")
                    .zone(cluster.shape.zone(i / 3))
                    .cpus(TASK_CPUS)
                    .estimateS(LONG_TASK_S)
                    .build());
        }
    }
}

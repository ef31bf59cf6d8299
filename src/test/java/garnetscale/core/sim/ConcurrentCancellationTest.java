package garnetscale.core.sim;

import static garnetscale.core.sim.ConcurrentFailures.SEEDS;
import static garnetscale.core.sim.ConcurrentFailures.assertOccurred;
import static garnetscale.core.sim.ConcurrentFailures.play;
import static garnetscale.core.sim.ConcurrentFailures.submitBeyondTeamLimits;
import static garnetscale.core.sim.ConcurrentFailures.submitShortJobs;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetscale.core.job.Priority;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Cancellations that coincide with a start or a completion, and more tasks than the cluster has room for. See
 * {@link ConcurrentFailures}.
 */
class ConcurrentCancellationTest {

    /** Four one-task jobs per second, a quarter of them cancelled, while the leader crashes and transactions are applied late. */
    @Test
    void fourOneTaskJobsPerSecond() {
        Map<String, Integer> occurred = play(3, cluster -> {
            for (int i = 0; i < 320; i++) {
                String id = "wk-1" + i;
                long at = 1000 + 250L * i;
                cluster.at(
                        at,
                        () -> cluster.users.submit(
                                id,
                                cluster.random.nextBoolean() ? "red" : "blue",
                                1,
                                0.5,
                                2 + cluster.random.nextInt(6)));
                if (cluster.random.nextInt(4) == 0) {
                    cluster.at(
                            at + cluster.random.nextInt(8000),
                            () -> cluster.countOccurrence(
                                    cluster.users.cancelAt("n1", id)
                                            ? "cancelled"
                                            : "cancellation refused or job terminal"));
                }
            }
            cluster.at(20_000, () -> cluster.state.loseAnswers(20_000, 0.2, false));
            cluster.at(30_000, () -> cluster.crash(cluster.leader(), 3000));
            cluster.at(60_000, () -> cluster.crash(cluster.leader(), 300));
            for (long time = 5000; time < 90_000; time += 5000) {
                cluster.at(
                        time,
                        () -> assertTrue(
                                cluster.state.model.list("g/", null, 1000).size() < 300,
                                "replicated keys must stay below 300"));
            }
        });
        assertOccurred(occurred, 3 * 25, "cancelled");
        assertOccurred(occurred, 3 * 300, "starts");
    }

    /**
     * A job is cancelled while a start command for one of its tasks is in flight; in half of the cases the machine also hangs.
     */
    @Test
    void cancelledWhileAStartIsInFlight() {
        Map<String, Integer> occurred = play(2 * SEEDS, cluster -> {
            submitBeyondTeamLimits(cluster);
            cluster.onStartSent = (machine, task) -> {
                if (cluster.now > 5000 && cluster.now < 95_000 && cluster.random.nextInt(6) == 0) {
                    if (cluster.random.nextBoolean()) {
                        cluster.hang(machine, 500 + cluster.random.nextInt(7000));
                    }
                    cluster.at(
                            cluster.random.nextInt(300),
                            () -> cluster.countOccurrence(
                                    cluster.users.cancelAt("n" + cluster.random.nextInt(3), task.job())
                                            ? "cancelled while a start was in flight"
                                            : "cancellation refused or job terminal"));
                }
            };
            cluster.at(50_000, () -> cluster.crash(cluster.leader(), 2000));
        });
        assertOccurred(occurred, 20 * SEEDS, "cancelled while a start was in flight");
    }

    /** A job is cancelled up to 400 ms after its last task completes; there is no other failure. */
    @Test
    void cancelledAsItsLastTaskCompletes() {
        Map<String, Integer> occurred = play(cluster -> {
            submitShortJobs(cluster, 60, 90_000);
            cluster.rules.onCompleted = task -> {
                if (cluster.rules.isComplete(task.job()) && cluster.random.nextBoolean()) {
                    cluster.at(
                            cluster.random.nextInt(400),
                            () -> cluster.countOccurrence(
                                    cluster.users.cancelAt("n0", task.job())
                                            ? "cancelled before its completion was stored"
                                            : "too late"));
                }
            };
        });
        assertOccurred(occurred, 5 * SEEDS, "cancelled before its completion was stored", "too late");
    }

    /** More tasks than the cluster has room for, of all priorities, with 2% of the messages lost. */
    @Test
    void moreTasksThanCapacityAtAllPriorities() {
        Map<String, Integer> occurred = play(cluster -> {
            cluster.network.loss = 0.02;
            for (int i = 0; i < 90; i++) {
                String id = "wk-1" + i;
                Priority priority = Priority.values()[cluster.random.nextInt(Priority.values().length)];
                int tasks = 1 + cluster.random.nextInt(6);
                cluster.at(
                        1000 + cluster.random.nextInt(50_000),
                        () -> cluster.users.submit(
                                id,
                                cluster.random.nextBoolean() ? "red" : "blue",
                                priority,
                                tasks,
                                2,
                                8,
                                cluster.random.nextInt(4) == 0));
            }
            for (long time = 20_000; time < 60_000; time += 5000) {
                cluster.at(time, () -> {
                    if (cluster.rules.used("red") + cluster.rules.used("blue") > 0.7 * 8 * cluster.workers.size()) {
                        cluster.countOccurrence("cluster full");
                    }
                });
            }
            cluster.at(30_000, () -> cluster.crash(cluster.leader(), 1000));
        });
        assertOccurred(occurred, SEEDS, "cluster full");
    }
}

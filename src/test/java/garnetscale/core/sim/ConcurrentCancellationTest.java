package garnetscale.core.sim;

import static garnetscale.core.sim.ConcurrentFailures.SEEDS;
import static garnetscale.core.sim.ConcurrentFailures.assertOccurred;
import static garnetscale.core.sim.ConcurrentFailures.fullTeams;
import static garnetscale.core.sim.ConcurrentFailures.play;
import static garnetscale.core.sim.ConcurrentFailures.shortWork;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetscale.core.job.Priority;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Cancellations that coincide with a start or a completion, and loads that are larger than the cluster. See {@link ConcurrentFailures}. */
class ConcurrentCancellationTest {

    /** Four jobs of one task a second, a quarter cancelled, while the leader crashes and writes are late. */
    @Test
    void oneTaskJobsFourASecond() {
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
                                    cluster.users.cancelAt("n1", id) ? "cancelled" : "over or refused"));
                }
            }
            cluster.at(20_000, () -> cluster.state.late(20_000, 0.2, false));
            cluster.at(30_000, () -> cluster.crash(cluster.leader(), 3000));
            cluster.at(60_000, () -> cluster.crash(cluster.leader(), 300));
            for (long time = 5000; time < 90_000; time += 5000) {
                cluster.at(
                        time,
                        () -> assertTrue(
                                cluster.state.model.list("g/", null, 1000).size() < 300,
                                "keys that are kept are bounded"));
            }
        });
        assertOccurred(occurred, 3 * 25, "cancelled");
        assertOccurred(occurred, 3 * 300, "starts");
    }

    /** A start is on its way while its job is cancelled, to a machine that may just hang. */
    @Test
    void cancelledWhileAStartIsOnItsWay() {
        Map<String, Integer> occurred = play(2 * SEEDS, cluster -> {
            fullTeams(cluster);
            cluster.onStartSent = (machine, task) -> {
                if (cluster.now > 5000 && cluster.now < 95_000 && cluster.random.nextInt(6) == 0) {
                    if (cluster.random.nextBoolean()) {
                        cluster.hang(machine, 500 + cluster.random.nextInt(7000));
                    }
                    cluster.at(
                            cluster.random.nextInt(300),
                            () -> cluster.countOccurrence(
                                    cluster.users.cancelAt("n" + cluster.random.nextInt(3), task.job())
                                            ? "cancelled while a start is on its way"
                                            : "over or refused"));
                }
            };
            cluster.at(50_000, () -> cluster.crash(cluster.leader(), 2000));
        });
        assertOccurred(occurred, 20 * SEEDS, "cancelled while a start is on its way");
    }

    /** A cancellation coincides with the completion of a job's last task, with no other failure. */
    @Test
    void cancelledAtItsEnd() {
        Map<String, Integer> occurred = play(cluster -> {
            shortWork(cluster, 60, 90_000);
            cluster.rules.onDone = task -> {
                if (cluster.rules.isComplete(task.job()) && cluster.random.nextBoolean()) {
                    cluster.at(
                            cluster.random.nextInt(400),
                            () -> cluster.countOccurrence(
                                    cluster.users.cancelAt("n0", task.job())
                                            ? "cancelled before its end was stored"
                                            : "too late"));
                }
            };
        });
        assertOccurred(occurred, 5 * SEEDS, "cancelled before its end was stored", "too late");
    }

    /** More tasks than fit, of all priorities, over lossy links. */
    @Test
    void moreWorkThanRoomUrgentAndNot() {
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
                        cluster.countOccurrence("the cluster is full");
                    }
                });
            }
            cluster.at(30_000, () -> cluster.crash(cluster.leader(), 1000));
        });
        assertOccurred(occurred, SEEDS, "the cluster is full");
    }
}

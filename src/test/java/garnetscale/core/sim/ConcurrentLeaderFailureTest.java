package garnetscale.core.sim;

import static garnetscale.core.sim.ConcurrentFailures.SEEDS;
import static garnetscale.core.sim.ConcurrentFailures.assertOccurred;
import static garnetscale.core.sim.ConcurrentFailures.cancelRunning;
import static garnetscale.core.sim.ConcurrentFailures.play;
import static garnetscale.core.sim.ConcurrentFailures.submitLongJobs;
import static garnetscale.core.sim.ConcurrentFailures.submitShortJobs;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Failovers of leaders and partition owners in quick succession, or of all controllers at once. See {@link ConcurrentFailures}.
 */
class ConcurrentLeaderFailureTest {

    /** The tasks of a small job complete far apart, with a change of leader between them. */
    @Test
    void tasksOfSmallJobsCompleteUnderDifferentLeaders() {
        Map<String, Integer> occurred = play(cluster -> {
            cluster.workers.forEach(worker -> worker.model.slowDown(1 + cluster.random.nextInt(6)));
            Map<String, Set<String>> leaders = new HashMap<>();
            cluster.rules.onCompleted = task -> {
                if (leaders.computeIfAbsent(task.job(), key -> new HashSet<>()).add(cluster.leaderTerm() + "")
                        && leaders.get(task.job()).size() == 2) {
                    cluster.countOccurrence("tasks of a job completed under different leaders");
                }
            };
            for (int i = 0; i < 24; i++) {
                String id = "wk-1" + i;
                int tasks = 2 + cluster.random.nextInt(2);
                cluster.at(1000 + cluster.random.nextInt(60_000), () -> cluster.users.submit(id, "red", tasks, 2, 5));
            }
            for (int i = 1; i <= 5; i++) {
                cluster.at(i * 12_000L, () -> cluster.crash(cluster.leader(), 100 + cluster.random.nextInt(5000)));
            }
        });
        assertOccurred(occurred, 2 * SEEDS, "tasks of a job completed under different leaders");
    }

    /** The leader changes ten times in two minutes, also during an outage; some controllers are back within a second. */
    @Test
    void leadersChangeTenTimesInTwoMinutes() {
        Map<String, Integer> occurred = play(cluster -> {
            submitLongJobs(cluster, 6);
            submitShortJobs(cluster, 25, 100_000);
            for (int i = 1; i <= 10; i++) {
                cluster.at(i * 11_000L, () -> {
                    if (cluster.random.nextInt(3) == 0) {
                        cluster.state.refuse(cluster.leader(), 3000);
                    } else {
                        cluster.crash(cluster.leader(), cluster.random.nextBoolean() ? 200 : 4000);
                    }
                });
                cluster.at(
                        i * 11_000L + 3000 + cluster.random.nextInt(4000),
                        () -> cancelRunning(
                                cluster, "", machine -> cluster.random.nextInt(6) == 0, "cancelled meanwhile"));
            }
            cluster.at(48_000, () -> cluster.state.outage(13_000));
        });
        assertOccurred(occurred, 8 * SEEDS, "leader changed");
        assertOccurred(occurred, SEEDS, "cancelled meanwhile");
    }

    /** All controllers crash and one is back within a second: partitions move to it, and away again when it crashes. */
    @Test
    void allControllersCrashAndOneRestartsWithinASecond() {
        Map<String, Integer> occurred = play(cluster -> {
            submitLongJobs(cluster, 10);
            submitShortJobs(cluster, 15, 80_000);
            for (long time = 15_000; time < 100_000; time += 25_000) {
                cluster.at(time, () -> {
                    int first = cluster.random.nextInt(cluster.nodes.size());
                    for (int i = 0; i < cluster.nodes.size(); i++) {
                        cluster.crash("n" + i, i == first ? 300 : 6000 + cluster.random.nextInt(3000));
                    }
                    cluster.countOccurrence("all controllers crashed");
                    cluster.at(7000 + cluster.random.nextInt(2000), () -> cluster.crash("n" + first, 400));
                    cluster.at(
                            2500,
                            () -> cancelRunning(
                                    cluster,
                                    "",
                                    machine -> cluster.random.nextInt(4) == 0,
                                    "cancelled while one controller is back"));
                });
            }
        });
        assertOccurred(occurred, 3 * SEEDS, "all controllers crashed");
        assertOccurred(occurred, SEEDS, "leader changed", "cancelled while one controller is back");
    }

    /** All controllers are down for longer than a worker's lease: agent epochs end, and no task runs twice or is lost. */
    @Test
    void allControllersAreDownForLongerThanALease() {
        Map<String, Integer> occurred = play(cluster -> {
            submitLongJobs(cluster, 12);
            cluster.at(20_000, () -> {
                cluster.nodes.forEach(node -> cluster.crash(
                        node.name, (int) SimulatedCluster.LEASE_MS + 4000 + cluster.random.nextInt(4000)));
                cluster.at(SimulatedCluster.LEASE_MS + 3500, () -> {
                    if (cluster.rules.running().isEmpty()) {
                        cluster.countOccurrence("every agent epoch ended");
                    }
                });
            });
        });
        assertOccurred(occurred, SEEDS, "every agent epoch ended");
    }

    /** Jobs are cancelled while an owner's partitions move; the stop may reach the worker through the old or the new owner. */
    @Test
    void cancelledWhileAPartitionMoves() {
        Map<String, Integer> occurred = play(cluster -> {
            submitLongJobs(cluster, 14);
            submitShortJobs(cluster, 10, 90_000);
            for (long time = 20_000; time < 100_000; time += 20_000) {
                cluster.at(time, () -> {
                    String node = "n" + cluster.random.nextInt(cluster.nodes.size());
                    switch (cluster.random.nextInt(3)) {
                        case 0 -> cluster.crash(node, 2500);
                        case 1 -> cluster.state.refuse(node, 4000);
                        default -> cluster.network.cutFromAllButWorkers(node, 8000);
                    }
                    for (int ms = 0; ms < 5000; ms += 250) {
                        cluster.at(
                                ms,
                                () -> cancelRunning(
                                        cluster,
                                        node,
                                        machine -> cluster.random.nextInt(25) == 0
                                                && cluster.msSincePartitionMoved(machine) < 3000,
                                        "cancelled while its partition moves"));
                    }
                });
            }
        });
        assertOccurred(occurred, 2 * SEEDS, "cancelled while its partition moves");
    }
}

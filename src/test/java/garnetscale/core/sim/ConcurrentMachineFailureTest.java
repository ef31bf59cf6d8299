package garnetscale.core.sim;

import static garnetscale.core.sim.ConcurrentFailures.SEEDS;
import static garnetscale.core.sim.ConcurrentFailures.assertOccurred;
import static garnetscale.core.sim.ConcurrentFailures.cancelRunning;
import static garnetscale.core.sim.ConcurrentFailures.play;
import static garnetscale.core.sim.ConcurrentFailures.submitLongJobs;
import static garnetscale.core.sim.ConcurrentFailures.submitShortJobs;

import garnetscale.core.job.Priority;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Machines or whole zones that hang or are isolated, while the leader fails or users cancel jobs. See {@link ConcurrentFailures}.
 */
class ConcurrentMachineFailureTest {

    /**
     * Both teams are at their limits, users cancel jobs on machines that hang or are isolated, and the leader fails over. Tasks
     * that may still run there count against the limit until their termination is proven, so nothing may start in their place.
     */
    @Test
    void teamsAtTheirLimitsWhileMachinesHangAndTheLeaderChanges() {
        Map<String, Integer> occurred = play(2 * SEEDS, cluster -> {
            for (int i = 0; i < 12; i++) {
                String id = "wk-1" + i;
                cluster.at(
                        1000 + 50L * i,
                        () -> cluster.users.submit(id, id.hashCode() % 2 == 0 ? "red" : "blue", 4, 2, 40));
            }
            for (long time = 20_000; time <= 80_000; time += 30_000) {
                cluster.at(time, () -> {
                    List<String> failedMachines = new ArrayList<>();
                    for (int i = 0; i < 3; i++) {
                        String machine = cluster.workers.get(cluster.random.nextInt(cluster.workers.size())).id;
                        failedMachines.add(machine);
                        switch (cluster.random.nextInt(3)) {
                            case 0 -> cluster.hang(machine, 3000 + cluster.random.nextInt(5500));
                            case 1 -> cluster.network.cut(machine, 4000 + cluster.random.nextInt(25_000));
                            default -> cluster.network.cutMessagesTo(machine, 4000 + cluster.random.nextInt(25_000));
                        }
                    }
                    if (cluster.rules.used("red") + 2 > cluster.shape.red()
                            || cluster.rules.used("blue") + 2 > cluster.shape.blue()) {
                        cluster.countOccurrence("team at its limit");
                    }
                    cancelRunning(cluster, "", failedMachines::contains, "cancelled on an unreachable machine");
                    cluster.at(
                            cluster.random.nextInt(1500),
                            () -> cluster.crash(cluster.leader(), 300 + cluster.random.nextInt(4000)));
                });
            }
        });
        assertOccurred(occurred, SEEDS, "team at its limit", "cancelled on an unreachable machine", "leader changed");
    }

    /** Jobs with zone affinity, some of them arrays of 12 tasks, lose machines and a whole zone. */
    @Test
    void jobsWithZoneAffinityLoseMachines() {
        Map<String, Integer> occurred = play(cluster -> {
            for (int i = 0; i < 16; i++) {
                String id = "wk-1" + i;
                int tasks = i % 4 == 0 ? 12 : 2 + cluster.random.nextInt(3);
                cluster.at(
                        1000 + cluster.random.nextInt(60_000),
                        () -> cluster.users.submit(id, "red", Priority.NORMAL, tasks, 2, 15, true));
            }
            for (long time = 15_000; time < 90_000; time += 12_000) {
                cluster.at(
                        time,
                        () -> cluster.network.cut(
                                cluster.workers.get(cluster.random.nextInt(cluster.workers.size())).id,
                                12_000 + cluster.random.nextInt(20_000)));
            }
            cluster.at(40_000, () -> {
                if (!cluster.rules.running().isEmpty()) {
                    cluster.countOccurrence("zone isolated while it runs tasks");
                }
                cluster.network.cutZone("b", SimulatedCluster.LEASE_MS + 8000);
            });
        });
        assertOccurred(occurred, SEEDS, "zone isolated while it runs tasks");
    }

    /**
     * A zone with its workers and controllers is isolated for longer than a worker lease, while jobs that run in it are
     * cancelled.
     */
    @Test
    void aZoneIsIsolatedForLongerThanALease() {
        Map<String, Integer> occurred = play(cluster -> {
            submitLongJobs(cluster, 14);
            cluster.at(20_000, () -> {
                String zone = cluster.random.nextBoolean() ? "a" : "b";
                cluster.network.cutZone(zone, SimulatedCluster.LEASE_MS + 15_000);
                cluster.at(
                        500 + cluster.random.nextInt(4000),
                        () -> cancelRunning(
                                cluster,
                                "",
                                machine -> cluster.zoneOf(machine).equals(zone),
                                "cancelled in an isolated zone"));
            });
        });
        assertOccurred(occurred, SEEDS, "cancelled in an isolated zone");
    }

    /** Heartbeats of some machines reach no controller, while direct commands reach the machines. */
    @Test
    void machinesReachNoController() {
        Map<String, Integer> occurred = play(cluster -> {
            submitLongJobs(cluster, 8);
            submitShortJobs(cluster, 20, 90_000);
            for (long time = 10_000; time < 90_000; time += 16_000) {
                cluster.at(time, () -> {
                    for (int i = 0; i < 3; i++) {
                        cluster.network.blockHeartbeats(
                                cluster.workers.get(cluster.random.nextInt(cluster.workers.size())).id,
                                4000 + cluster.random.nextInt(20_000));
                    }
                    cluster.at(
                            2000,
                            () -> cancelRunning(
                                    cluster, "", machine -> cluster.random.nextInt(3) == 0, "cancelled meanwhile"));
                });
            }
        });
        assertOccurred(occurred, 10 * SEEDS, "machine reaches no controller");
        assertOccurred(occurred, SEEDS, "cancelled meanwhile");
    }

    /** The leader crashes while machines with long tasks are isolated, or send heartbeats but receive no answers. */
    @Test
    void theLeaderCrashesWhileMachinesAreUnreachable() {
        Map<String, Integer> occurred = play(cluster -> {
            submitLongJobs(cluster, 14);
            for (long time = 20_000; time < 90_000; time += 30_000) {
                cluster.at(time, () -> {
                    for (int i = 0; i < 3; i++) {
                        String machine = cluster.workers.get(cluster.random.nextInt(cluster.workers.size())).id;
                        long ms = 5000 + cluster.random.nextInt(20_000);
                        if (cluster.random.nextBoolean()) {
                            cluster.network.cutMessagesTo(machine, ms);
                        } else {
                            cluster.network.cut(machine, ms);
                        }
                        if (cluster.rules.running().containsValue(machine)) {
                            cluster.countOccurrence("machine with tasks unreachable");
                        }
                    }
                    cluster.at(cluster.random.nextInt(1000), () -> cluster.crash(cluster.leader(), 2000));
                });
            }
        });
        assertOccurred(occurred, 3 * SEEDS, "machine with tasks unreachable");
        assertOccurred(occurred, SEEDS, "leader changed");
    }

    /** Machines hang for seconds and then resume, so that commands and their answers are late. */
    @Test
    void commandsAreDelayedByHangingMachines() {
        Map<String, Integer> occurred = play(2 * SEEDS, cluster -> {
            submitShortJobs(cluster, 40, 100_000);
            for (long time = 5000; time < 100_000; time += 2500) {
                cluster.at(time, () -> {
                    String machine = cluster.workers.get(cluster.random.nextInt(cluster.workers.size())).id;
                    cluster.hang(machine, 1000 + cluster.random.nextInt(8000));
                    cluster.countOccurrence("machine hangs");
                    cancelRunning(
                            cluster,
                            "",
                            other -> other.equals(machine) && cluster.random.nextInt(4) == 0,
                            "cancelled on a hanging machine");
                });
            }
            cluster.at(45_000, () -> cluster.crash(cluster.leader(), 1500));
        });
        assertOccurred(occurred, SEEDS, "cancelled on a hanging machine");
    }
}

package garnetscale.core.sim;

import static garnetscale.core.sim.ConcurrentFailures.SEEDS;
import static garnetscale.core.sim.ConcurrentFailures.assertOccurred;
import static garnetscale.core.sim.ConcurrentFailures.cancelRunning;
import static garnetscale.core.sim.ConcurrentFailures.longWork;
import static garnetscale.core.sim.ConcurrentFailures.play;
import static garnetscale.core.sim.ConcurrentFailures.shortWork;

import garnetscale.core.job.Priority;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Machines or whole zones that hang or are isolated, while the leader fails or users cancel jobs. See {@link ConcurrentFailures}. */
class ConcurrentMachineFailureTest {

    /**
     * Both teams are at their limits, users cancel jobs on machines that hang or are isolated, and the leader fails over: tasks that
     * may run there count until their termination is proven, and nothing starts in their place.
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
                    List<String> hit = new ArrayList<>();
                    for (int i = 0; i < 3; i++) {
                        String machine = cluster.workers.get(cluster.random.nextInt(cluster.workers.size())).id;
                        hit.add(machine);
                        switch (cluster.random.nextInt(3)) {
                            case 0 -> cluster.hang(machine, 3000 + cluster.random.nextInt(5500));
                            case 1 -> cluster.network.cut(machine, 4000 + cluster.random.nextInt(25_000));
                            default -> cluster.network.cutMessagesTo(machine, 4000 + cluster.random.nextInt(25_000));
                        }
                    }
                    if (cluster.rules.used("red") + 2 > cluster.shape.red()
                            || cluster.rules.used("blue") + 2 > cluster.shape.blue()) {
                        cluster.countOccurrence("at a limit");
                    }
                    cancelRunning(cluster, "", hit::contains, "cancelled on a machine that can't be asked");
                    cluster.at(
                            cluster.random.nextInt(1500),
                            () -> cluster.crash(cluster.leader(), 300 + cluster.random.nextInt(4000)));
                });
            }
        });
        assertOccurred(occurred, SEEDS, "at a limit", "cancelled on a machine that can't be asked", "leader changed");
    }

    /** Jobs with zone affinity, also job arrays, lose machines and a whole zone. */
    @Test
    void jobsBoundToOneZoneLoseMachines() {
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
                    cluster.countOccurrence("a zone is cut off with work in it");
                }
                cluster.network.cutZone("b", SimulatedCluster.LEASE + 8000);
            });
        });
        assertOccurred(occurred, SEEDS, "a zone is cut off with work in it");
    }

    /** A zone with its workers and a controller is cut off for longer than a lease, while its jobs are cancelled. */
    @Test
    void aZoneIsCutOffForLongerThanALease() {
        Map<String, Integer> occurred = play(cluster -> {
            longWork(cluster, 14);
            cluster.at(20_000, () -> {
                String zone = cluster.random.nextBoolean() ? "a" : "b";
                cluster.network.cutZone(zone, SimulatedCluster.LEASE + 15_000);
                cluster.at(
                        500 + cluster.random.nextInt(4000),
                        () -> cancelRunning(
                                cluster,
                                "",
                                machine -> cluster.zoneOf(machine).equals(zone),
                                "cancelled in a zone that is cut off"));
            });
        });
        assertOccurred(occurred, SEEDS, "cancelled in a zone that is cut off");
    }

    /** Machines can't reach any controller, while direct commands reach them. */
    @Test
    void machinesThatReachNobody() {
        Map<String, Integer> occurred = play(cluster -> {
            longWork(cluster, 8);
            shortWork(cluster, 20, 90_000);
            for (long time = 10_000; time < 90_000; time += 16_000) {
                cluster.at(time, () -> {
                    for (int i = 0; i < 3; i++) {
                        cluster.network.mute(
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
        assertOccurred(occurred, 10 * SEEDS, "a machine that reaches no controller");
        assertOccurred(occurred, SEEDS, "cancelled meanwhile");
    }

    /** A leader crashes while machines with long tasks are isolated, or don't receive the new one's answer. */
    @Test
    void aLeaderEndsWhileMachinesDontHear() {
        Map<String, Integer> occurred = play(cluster -> {
            longWork(cluster, 14);
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
                            cluster.countOccurrence("a machine with tasks is unreachable");
                        }
                    }
                    cluster.at(cluster.random.nextInt(1000), () -> cluster.crash(cluster.leader(), 2000));
                });
            }
        });
        assertOccurred(occurred, 3 * SEEDS, "a machine with tasks is unreachable");
        assertOccurred(occurred, SEEDS, "leader changed");
    }

    /** Commands and their answers are held up for seconds by machines that then go on. */
    @Test
    void commandsAreHeldUpAndTheMachineGoesOn() {
        Map<String, Integer> occurred = play(2 * SEEDS, cluster -> {
            shortWork(cluster, 40, 100_000);
            for (long time = 5000; time < 100_000; time += 2500) {
                cluster.at(time, () -> {
                    String machine = cluster.workers.get(cluster.random.nextInt(cluster.workers.size())).id;
                    cluster.hang(machine, 1000 + cluster.random.nextInt(8000));
                    cluster.countOccurrence("a machine hangs");
                    cancelRunning(
                            cluster,
                            "",
                            on -> on.equals(machine) && cluster.random.nextInt(4) == 0,
                            "cancelled on a hanging machine");
                });
            }
            cluster.at(45_000, () -> cluster.crash(cluster.leader(), 1500));
        });
        assertOccurred(occurred, SEEDS, "cancelled on a hanging machine");
    }
}

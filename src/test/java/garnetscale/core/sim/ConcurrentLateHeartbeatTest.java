package garnetscale.core.sim;

import static garnetscale.core.sim.ConcurrentFailures.SEEDS;
import static garnetscale.core.sim.ConcurrentFailures.assertOccurred;
import static garnetscale.core.sim.ConcurrentFailures.cancelRunning;
import static garnetscale.core.sim.ConcurrentFailures.fullTeams;
import static garnetscale.core.sim.ConcurrentFailures.longWork;
import static garnetscale.core.sim.ConcurrentFailures.play;
import static garnetscale.core.sim.ConcurrentFailures.shortWork;

import java.util.Map;
import org.junit.jupiter.api.Test;

/** Heartbeats that arrive late, twice or out of order, while the leader fails over. See {@link ConcurrentFailures}. */
class ConcurrentLateHeartbeatTest {

    /** Old heartbeats reach every controller just as a new leader begins: they prove nothing. */
    @Test
    void oldReportsReachEveryControllerAsALeaderBegins() {
        Map<String, Integer> occurred = play(cluster -> {
            oldReports(cluster, 0);
        });
        assertOccurred(occurred, 100 * SEEDS, "old heartbeat at a new leader");
    }

    /** Heartbeats are held back until a new leader has acted. */
    @Test
    void reportsAreHeldBackUntilANewLeaderHasActed() {
        Map<String, Integer> occurred = play(cluster -> {
            oldReports(cluster, 2500);
        });
        assertOccurred(occurred, 100 * SEEDS, "old heartbeat at a new leader");
    }

    private static void oldReports(SimulatedCluster cluster, long delay) {
        longWork(cluster, 6);
        shortWork(cluster, 25, 90_000);
        cluster.keptDelay = delay;
        for (long time = 12_000; time < 100_000; time += 22_000) {
            cluster.at(time, () -> {
                cluster.keepUntil = cluster.now + 8000;
                cluster.at(9000, () -> cluster.crash(cluster.leader(), 300 + cluster.random.nextInt(6000)));
                cluster.at(
                        9100 + cluster.random.nextInt(3000),
                        () -> cancelRunning(
                                cluster, "", machine -> cluster.random.nextInt(5) == 0, "cancelled meanwhile"));
                cluster.at(
                        9000,
                        () -> cluster.network.cut(
                                cluster.workers.get(cluster.random.nextInt(cluster.workers.size())).id, 14_000));
            });
        }
    }

    /** Copies of heartbeats arrive late, by seconds to well over a lease, also from earlier agent epochs. */
    @Test
    void oldReportsArriveAfterNewerOnes() {
        Map<String, Integer> occurred = play(2 * SEEDS, cluster -> {
            fullTeams(cluster);
            cluster.copiesUntil = 100_000;
            for (long time = 8000; time < 100_000; time += 2000) {
                cluster.at(
                        time,
                        () -> cancelRunning(
                                cluster, "", machine -> cluster.random.nextInt(8) == 0, "cancelled meanwhile"));
            }
            for (long time = 15_000; time < 100_000; time += 15_000) {
                cluster.at(time, () -> {
                    String machine = cluster.workers.get(cluster.random.nextInt(cluster.workers.size())).id;
                    long agentEpoch = cluster.worker(machine).model.agentEpoch();
                    cluster.network.cutMessagesTo(machine, SimulatedCluster.LEASE + 3000);
                    cluster.at(SimulatedCluster.LEASE + 4000, () -> {
                        if (cluster.worker(machine).model.agentEpoch() > agentEpoch) {
                            cluster.countOccurrence("copies of an earlier agent epoch");
                        }
                    });
                });
            }
        });
        assertOccurred(occurred, 2 * SEEDS, "copies of an earlier agent epoch");
    }
}

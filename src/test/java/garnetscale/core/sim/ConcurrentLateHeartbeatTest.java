package garnetscale.core.sim;

import static garnetscale.core.sim.ConcurrentFailures.SEEDS;
import static garnetscale.core.sim.ConcurrentFailures.assertOccurred;
import static garnetscale.core.sim.ConcurrentFailures.cancelRunning;
import static garnetscale.core.sim.ConcurrentFailures.play;
import static garnetscale.core.sim.ConcurrentFailures.submitBeyondTeamLimits;
import static garnetscale.core.sim.ConcurrentFailures.submitLongJobs;
import static garnetscale.core.sim.ConcurrentFailures.submitShortJobs;

import java.util.Map;
import org.junit.jupiter.api.Test;

/** Heartbeats that arrive late, twice or out of order, while the leader fails over. See {@link ConcurrentFailures}. */
class ConcurrentLateHeartbeatTest {

    /** Old heartbeats reach every controller at the election of a new leader; they must not count as proof of anything. */
    @Test
    void oldHeartbeatsReachEveryControllerAtAnElection() {
        Map<String, Integer> occurred = play(cluster -> {
            deliverOldHeartbeats(cluster, 0);
        });
        assertOccurred(occurred, 100 * SEEDS, "old heartbeat at a new leader");
    }

    /** Old heartbeats reach every controller 2.5 s after the election, when the new leader has already made decisions. */
    @Test
    void oldHeartbeatsArriveAfterANewLeaderHasActed() {
        Map<String, Integer> occurred = play(cluster -> {
            deliverOldHeartbeats(cluster, 2500);
        });
        assertOccurred(occurred, 100 * SEEDS, "old heartbeat at a new leader");
    }

    /**
     * Holds heartbeats before each crash of a leader, and delivers them to every controller {@code delayMs} after the next
     * election.
     */
    private static void deliverOldHeartbeats(SimulatedCluster cluster, long delayMs) {
        submitLongJobs(cluster, 6);
        submitShortJobs(cluster, 25, 90_000);
        cluster.heldHeartbeatsDelayMs = delayMs;
        for (long time = 12_000; time < 100_000; time += 22_000) {
            cluster.at(time, () -> {
                cluster.holdHeartbeatsUntil = cluster.now + 8000;
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

    /** Copies of heartbeats arrive 1 s to 41 s late: some after more than a worker lease, some from an earlier agent epoch. */
    @Test
    void oldHeartbeatsArriveAfterNewerOnes() {
        Map<String, Integer> occurred = play(2 * SEEDS, cluster -> {
            submitBeyondTeamLimits(cluster);
            cluster.lateCopiesUntil = 100_000;
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
                    cluster.network.cutMessagesTo(machine, SimulatedCluster.LEASE_MS + 3000);
                    cluster.at(SimulatedCluster.LEASE_MS + 4000, () -> {
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

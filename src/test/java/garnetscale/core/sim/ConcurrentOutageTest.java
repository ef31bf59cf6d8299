package garnetscale.core.sim;

import static garnetscale.core.sim.ConcurrentFailures.SEEDS;
import static garnetscale.core.sim.ConcurrentFailures.assertOccurred;
import static garnetscale.core.sim.ConcurrentFailures.cancelRunning;
import static garnetscale.core.sim.ConcurrentFailures.play;
import static garnetscale.core.sim.ConcurrentFailures.submitLongJobs;
import static garnetscale.core.sim.ConcurrentFailures.submitShortJobs;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import org.junit.jupiter.api.Test;

/** Outages of the state service together with another failure, while users cancel jobs. See {@link ConcurrentFailures}. */
class ConcurrentOutageTest {

    /**
     * The state service refuses only the leader, and another controller confirms cancellations. Then the service is down for all
     * controllers for longer than the cancellation deadline. Workers go on sending heartbeats to the old leader, which can learn
     * of the cancellations neither from the service nor from its peers.
     */
    @Test
    void anOutageFollowsARefusalOfTheLeader() {
        Map<String, Integer> occurred = play(2 * SEEDS, cluster -> {
            submitLongJobs(cluster, 14);
            cluster.at(20_000 + cluster.random.nextInt(3000), () -> {
                String leader = cluster.leader();
                cluster.network.cutFromPeers(leader, 60_000);
                cluster.state.refuse(leader, 14_000);
                cluster.at(800 + cluster.random.nextInt(1000), () -> {
                    cancelRunning(
                            cluster,
                            leader,
                            machine -> cluster.ownerOf(machine).equals(leader),
                            "cancelled while the state service refused the owner");
                    cluster.state.outage(SimulatedCluster.CANCEL_MS + 12_000);
                });
                cluster.at(8000, () -> cluster.rules.running().keySet().forEach(task -> {
                    if (cluster.rules.isCancelled(task.job())) {
                        cluster.countOccurrence("a cancelled task is kept alive by the old leader");
                    }
                }));
            });
        });
        assertOccurred(
                occurred,
                3 * SEEDS,
                "cancelled while the state service refused the owner",
                "a cancelled task is kept alive by the old leader",
                "watch stayed open while requests were refused");
    }

    /**
     * As {@link #anOutageFollowsARefusalOfTheLeader}, with a second outage right after the first one. At the end of each outage,
     * every lease is renewed in full.
     */
    @Test
    void twoOutagesFollowARefusalOfTheLeader() {
        Map<String, Integer> occurred = play(cluster -> {
            submitLongJobs(cluster, 14);
            cluster.at(20_000, () -> {
                String leader = cluster.leader();
                cluster.network.cutFromPeers(leader, 80_000);
                cluster.state.refuse(leader, 70_000);
                cluster.at(1200, () -> {
                    cancelRunning(
                            cluster,
                            leader,
                            machine -> cluster.ownerOf(machine).equals(leader),
                            "cancelled while the state service refused the owner");
                    cluster.state.outage(12_000);
                });
                cluster.at(14_500, () -> {
                    cancelRunning(cluster, leader, machine -> true, "cancelled between two outages");
                    cluster.state.outage(SimulatedCluster.CANCEL_MS + 5000);
                });
            });
        });
        assertOccurred(occurred, SEEDS, "cancelled while the state service refused the owner");
        assertOccurred(occurred, 1, "cancelled between two outages");
    }

    /**
     * Jobs of the leader's machines are cancelled at another controller when the state service starts to refuse the leader, 1 s
     * before an outage. The cancellation notice reaches the leader, which must stop the tasks.
     */
    @Test
    void aCancellationNoticeFromAPeerStopsTasksInAnOutage() {
        Map<String, Integer> occurred = play(cluster -> {
            cluster.users.lostNoticeShare = 0;
            submitLongJobs(cluster, 14);
            cluster.at(20_000, () -> {
                String leader = cluster.leader();
                cluster.state.refuse(leader, 14_000);
                cancelRunning(
                        cluster,
                        leader,
                        machine -> cluster.ownerOf(machine).equals(leader),
                        "cancelled when the state service refused the leader");
                cluster.at(1000, () -> cluster.state.outage(SimulatedCluster.CANCEL_MS + 12_000));
                cluster.at(7000, () -> cluster.rules.running().keySet().forEach(task -> {
                    if (cluster.rules.isCancelled(task.job())) {
                        cluster.countOccurrence("still running 7 s after its cancellation");
                    }
                }));
            });
        });
        assertOccurred(occurred, SEEDS, "cancelled when the state service refused the leader");
        assertEquals(
                0,
                occurred.getOrDefault("still running 7 s after its cancellation", 0),
                "the notice from a peer must stop the tasks");
    }

    /**
     * The leader is isolated from the state service and its peers but not from its workers; users cancel jobs at other
     * controllers.
     */
    @Test
    void jobsOfAnIsolatedLeaderAreCancelledAtOtherControllers() {
        Map<String, Integer> occurred = play(cluster -> {
            submitLongJobs(cluster, 14);
            submitShortJobs(cluster, 10, 60_000);
            cluster.at(20_000, () -> {
                String old = cluster.leader();
                cluster.network.cutFromAllButWorkers(old, 30_000);
                cluster.at(
                        2500 + cluster.random.nextInt(4000),
                        () -> cancelRunning(
                                cluster,
                                old,
                                machine -> cluster.heartbeatTarget(machine).equals(old),
                                "cancelled on a machine that reaches the isolated leader"));
            });
        });
        assertOccurred(occurred, SEEDS, "cancelled on a machine that reaches the isolated leader", "leader changed");
    }

    /** The state service answers slowly, also to lease renewals, and then refuses the leader. */
    @Test
    void theStateServiceAnswersSlowly() {
        Map<String, Integer> occurred = play(cluster -> {
            submitLongJobs(cluster, 8);
            submitShortJobs(cluster, 20, 90_000);
            cluster.at(10_000, () -> {
                cluster.state.maxSlowdownMs = 1400;
                cluster.state.slowUntil = cluster.now + 70_000;
            });
            cluster.at(40_000, () -> {
                cluster.state.refuse(cluster.leader(), 6000);
                cluster.countOccurrence("refused during slow answers");
            });
            cluster.at(
                    42_000,
                    () -> cancelRunning(
                            cluster,
                            cluster.leader(),
                            machine -> cluster.random.nextInt(3) == 0,
                            "cancelled meanwhile"));
        });
        assertOccurred(occurred, SEEDS, "refused during slow answers");
        assertOccurred(occurred, 20 * SEEDS, "starts");
    }
}

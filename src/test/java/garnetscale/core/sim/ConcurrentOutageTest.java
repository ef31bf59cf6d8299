package garnetscale.core.sim;

import static garnetscale.core.sim.ConcurrentFailures.SEEDS;
import static garnetscale.core.sim.ConcurrentFailures.assertOccurred;
import static garnetscale.core.sim.ConcurrentFailures.cancelRunning;
import static garnetscale.core.sim.ConcurrentFailures.longWork;
import static garnetscale.core.sim.ConcurrentFailures.play;
import static garnetscale.core.sim.ConcurrentFailures.shortWork;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import org.junit.jupiter.api.Test;

/** Outages of the key-value store together with another failure, while users cancel jobs. See {@link ConcurrentFailures}. */
class ConcurrentOutageTest {

    /**
     * The key-value store refuses the leader alone, another controller confirms cancellations, and then it is down for all for
     * longer than the cancellation deadline, while workers go on sending heartbeats to the old leader, which its peers can't tell
     * about it either.
     */
    @Test
    void theGap() {
        Map<String, Integer> occurred = play(2 * SEEDS, cluster -> {
            longWork(cluster, 14);
            cluster.at(20_000 + cluster.random.nextInt(3000), () -> {
                String leader = cluster.leader();
                cluster.network.cutFromPeers(leader, 60_000);
                cluster.state.refuse(leader, 14_000);
                cluster.at(800 + cluster.random.nextInt(1000), () -> {
                    cancelRunning(
                            cluster,
                            leader,
                            machine -> cluster.ownerOf(machine).equals(leader),
                            "cancelled while the owner is refused");
                    cluster.state.outage(SimulatedCluster.CANCEL + 12_000);
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
                "cancelled while the owner is refused",
                "a cancelled task is kept alive by the old leader",
                "a watch hung open through a refusal");
    }

    /** {@link #theGap} with a second outage right after the first, which renews every lease in full. */
    @Test
    void theGapTwice() {
        Map<String, Integer> occurred = play(cluster -> {
            longWork(cluster, 14);
            cluster.at(20_000, () -> {
                String leader = cluster.leader();
                cluster.network.cutFromPeers(leader, 80_000);
                cluster.state.refuse(leader, 70_000);
                cluster.at(1200, () -> {
                    cancelRunning(
                            cluster,
                            leader,
                            machine -> cluster.ownerOf(machine).equals(leader),
                            "cancelled while the owner is refused");
                    cluster.state.outage(12_000);
                });
                cluster.at(14_500, () -> {
                    cancelRunning(cluster, leader, machine -> true, "cancelled between two outages");
                    cluster.state.outage(SimulatedCluster.CANCEL + 5000);
                });
            });
        });
        assertOccurred(occurred, SEEDS, "cancelled while the owner is refused");
        assertOccurred(occurred, 1, "cancelled between two outages");
    }

    /** Cancelled just when the leader is refused, a second before the outage; the message to its peers arrives. */
    @Test
    void peersWordOfACancellationStopsItsTasksInAnOutage() {
        Map<String, Integer> occurred = play(cluster -> {
            cluster.users.lostCancellationNotices = 0;
            longWork(cluster, 14);
            cluster.at(20_000, () -> {
                String leader = cluster.leader();
                cluster.state.refuse(leader, 14_000);
                cancelRunning(
                        cluster,
                        leader,
                        machine -> cluster.ownerOf(machine).equals(leader),
                        "cancelled at the refusal");
                cluster.at(1000, () -> cluster.state.outage(SimulatedCluster.CANCEL + 12_000));
                cluster.at(7000, () -> cluster.rules.running().keySet().forEach(task -> {
                    if (cluster.rules.isCancelled(task.job())) {
                        cluster.countOccurrence("still running 7 s after its cancellation");
                    }
                }));
            });
        });
        assertOccurred(occurred, SEEDS, "cancelled at the refusal");
        assertEquals(
                0, occurred.getOrDefault("still running 7 s after its cancellation", 0), "a peer's message is enough");
    }

    /** A leader is isolated from the key-value store and its peers, not from its workers; users cancel jobs through the new leader. */
    @Test
    void jobsOfACutLeaderAreCancelledThroughTheNextOne() {
        Map<String, Integer> occurred = play(cluster -> {
            longWork(cluster, 14);
            shortWork(cluster, 10, 60_000);
            cluster.at(20_000, () -> {
                String old = cluster.leader();
                cluster.network.cutFromAllButWorkers(old, 30_000);
                cluster.at(
                        2500 + cluster.random.nextInt(4000),
                        () -> cancelRunning(
                                cluster,
                                old,
                                machine -> cluster.heartbeatTarget(machine).equals(old),
                                "cancelled where the isolated owner is reachable"));
            });
        });
        assertOccurred(occurred, SEEDS, "cancelled where the isolated owner is reachable", "leader changed");
    }

    /** The key-value store answers slowly, lease renewals too; then it refuses the leader. */
    @Test
    void theStateServiceAnswersSlowly() {
        Map<String, Integer> occurred = play(cluster -> {
            longWork(cluster, 8);
            shortWork(cluster, 20, 90_000);
            cluster.at(10_000, () -> {
                cluster.state.slowMs = 1400;
                cluster.state.slowUntil = cluster.now + 70_000;
            });
            cluster.at(40_000, () -> {
                cluster.state.refuse(cluster.leader(), 6000);
                cluster.countOccurrence("refused amid slow answers");
            });
            cluster.at(
                    42_000,
                    () -> cancelRunning(
                            cluster,
                            cluster.leader(),
                            machine -> cluster.random.nextInt(3) == 0,
                            "cancelled meanwhile"));
        });
        assertOccurred(occurred, SEEDS, "refused amid slow answers");
        assertOccurred(occurred, 20 * SEEDS, "starts");
    }
}

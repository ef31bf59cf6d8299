package garnetscale.core.sim;

import static garnetscale.core.sim.ConcurrentFailures.SEEDS;
import static garnetscale.core.sim.ConcurrentFailures.assertOccurred;
import static garnetscale.core.sim.ConcurrentFailures.cancelRunning;
import static garnetscale.core.sim.ConcurrentFailures.play;
import static garnetscale.core.sim.ConcurrentFailures.submitLongJobs;
import static garnetscale.core.sim.ConcurrentFailures.submitShortJobs;

import java.util.Map;
import org.junit.jupiter.api.Test;

/** Transactions that are applied late or whose outcome is lost, while the leader fails over. See {@link ConcurrentFailures}. */
class ConcurrentLateTransactionTest {

    /** Transactions are applied at once and only their answers are lost, so that the other controllers read what they wrote. */
    @Test
    void answersOfTransactionsAreLost() {
        Map<String, Integer> occurred = loseAnswers(true);
        assertOccurred(occurred, 20 * SEEDS, "applied without an answer");
    }

    /** Unanswered transactions are applied late, after newer ones; some were sent by a process that has crashed since. */
    @Test
    void transactionsAreAppliedLate() {
        Map<String, Integer> occurred = loseAnswers(false);
        assertOccurred(occurred, 20 * SEEDS, "late transaction not applied");
        assertOccurred(occurred, SEEDS, "applied without an answer");
    }

    /**
     * A copy of an applied transaction arrives up to a minute later. A copy of the first partition leases was applied while the same
     * leader led: a partition went back to an older term, and no controller acknowledged its machines' heartbeats any more.
     */
    @Test
    void appliedTransactionsArriveAgain() {
        Map<String, Integer> occurred = play(cluster -> {
            submitLongJobs(cluster, 6);
            submitShortJobs(cluster, 25, 90_000);
            cluster.state.repeatApplied(90_000, 0.5);
            for (long time = 8000; time < 90_000; time += 17_000) {
                cluster.at(time, () -> crashController(cluster, cluster.random.nextInt(3) == 0));
                cluster.at(
                        time + 1000,
                        () -> cancelRunning(
                                cluster, "", machine -> cluster.random.nextInt(6) == 0, "cancelled meanwhile"));
            }
        });
        assertOccurred(occurred, 20 * SEEDS, "repeat rejected");
        assertOccurred(occurred, 2 * SEEDS, "partition moved within a leader's term");
    }

    private static void crashController(SimulatedCluster cluster, boolean isLeader) {
        String crashed = cluster.nodes.stream()
                .map(node -> node.name)
                .filter(name -> name.equals(cluster.leader()) == isLeader)
                .findFirst()
                .orElseThrow();
        cluster.crash(crashed, cluster.random.nextBoolean() ? 150 : 3000);
    }

    private static Map<String, Integer> loseAnswers(boolean atOnce) {
        return play(cluster -> {
            submitLongJobs(cluster, 6);
            submitShortJobs(cluster, 25, 90_000);
            cluster.at(5000, () -> cluster.state.loseAnswers(85_000, 0.3, atOnce));
            for (long time = 20_000; time < 90_000; time += 17_000) {
                cluster.at(time, () -> cluster.crash(cluster.leader(), cluster.random.nextBoolean() ? 150 : 3000));
                cluster.at(
                        time + 1000,
                        () -> cancelRunning(
                                cluster, "", machine -> cluster.random.nextInt(6) == 0, "cancelled meanwhile"));
            }
        });
    }

    /** Four machines join within 2 s and get tasks while transactions get no answer or are late, and the leader crashes. */
    @Test
    void newMachinesGetTasksWhileTransactionsAreLateAndTheLeaderCrashes() {
        Map<String, Integer> occurred = play(cluster -> {
            int before = cluster.workers.size();
            // Four of the six machines are isolated, so that tasks need the new ones.
            cluster.workers
                    .subList(0, 4)
                    .forEach(worker -> cluster.at(500, () -> cluster.network.cut(worker.id, 60_000)));
            submitLongJobs(cluster, 20);
            cluster.at(10_000, () -> {
                cluster.state.loseAnswers(15_000, 0.4, cluster.random.nextBoolean());
                for (int i = 0; i < 4; i++) {
                    int number = before + i;
                    cluster.at(cluster.random.nextInt(2000), () -> cluster.startWorker(number));
                }
                cluster.at(
                        2500 + cluster.random.nextInt(2500),
                        () -> cluster.crash(cluster.leader(), 300 + cluster.random.nextInt(3000)));
                cluster.at(20_000, () -> cluster.rules.running().values().forEach(machine -> {
                    if (Integer.parseInt(machine.substring(2)) >= before) {
                        cluster.countOccurrence("new machine runs tasks");
                    }
                }));
            });
        });
        assertOccurred(occurred, SEEDS, "new machine runs tasks", "late transaction not applied");
    }
}

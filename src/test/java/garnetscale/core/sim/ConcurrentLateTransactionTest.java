package garnetscale.core.sim;

import static garnetscale.core.sim.ConcurrentFailures.SEEDS;
import static garnetscale.core.sim.ConcurrentFailures.assertOccurred;
import static garnetscale.core.sim.ConcurrentFailures.cancelRunning;
import static garnetscale.core.sim.ConcurrentFailures.longWork;
import static garnetscale.core.sim.ConcurrentFailures.play;
import static garnetscale.core.sim.ConcurrentFailures.shortWork;

import java.util.Map;
import org.junit.jupiter.api.Test;

/** Transactions that are applied late or whose outcome is lost, while the leader fails over. See {@link ConcurrentFailures}. */
class ConcurrentLateTransactionTest {

    /** Only the answers of transactions are lost, while the other nodes read what they wrote. */
    @Test
    void answersOfTransactionsAreLost() {
        Map<String, Integer> occurred = lateWrites(true);
        assertOccurred(occurred, 20 * SEEDS, "carried out without an answer");
    }

    /** Transactions without an answer are carried out late, after newer ones, also those of a crashed process. */
    @Test
    void transactionsAreCarriedOutLate() {
        Map<String, Integer> occurred = lateWrites(false);
        assertOccurred(occurred, 20 * SEEDS, "late and overtaken");
        assertOccurred(occurred, SEEDS, "carried out without an answer");
    }

    private static Map<String, Integer> lateWrites(boolean atOnce) {
        return play(cluster -> {
            longWork(cluster, 6);
            shortWork(cluster, 25, 90_000);
            cluster.at(5000, () -> cluster.state.late(85_000, 0.3, atOnce));
            for (long time = 20_000; time < 90_000; time += 17_000) {
                cluster.at(time, () -> cluster.crash(cluster.leader(), cluster.random.nextBoolean() ? 150 : 3000));
                cluster.at(
                        time + 1000,
                        () -> cancelRunning(
                                cluster, "", machine -> cluster.random.nextInt(6) == 0, "cancelled meanwhile"));
            }
        });
    }

    /** Machines that are up within two seconds get tasks at once while writes are late, and the leader crashes. */
    @Test
    void newMachinesGetWorkWhileWritesLagAndTheLeaderEnds() {
        Map<String, Integer> occurred = play(cluster -> {
            int before = cluster.workers.size();
            // Four of the six are isolated, so that the new ones are needed.
            cluster.workers
                    .subList(0, 4)
                    .forEach(worker -> cluster.at(500, () -> cluster.network.cut(worker.id, 60_000)));
            longWork(cluster, 20);
            cluster.at(10_000, () -> {
                cluster.state.late(15_000, 0.4, cluster.random.nextBoolean());
                for (int i = 0; i < 4; i++) {
                    int number = before + i;
                    cluster.at(cluster.random.nextInt(2000), () -> cluster.bring(number));
                }
                cluster.at(
                        2500 + cluster.random.nextInt(2500),
                        () -> cluster.crash(cluster.leader(), 300 + cluster.random.nextInt(3000)));
                cluster.at(20_000, () -> cluster.rules.running().values().forEach(machine -> {
                    if (Integer.parseInt(machine.substring(2)) >= before) {
                        cluster.countOccurrence("a new machine has work");
                    }
                }));
            });
        });
        assertOccurred(occurred, SEEDS, "a new machine has work", "late and overtaken");
    }
}

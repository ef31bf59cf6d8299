package garnetscale.core.sim;

import static garnetscale.core.sim.ConcurrentFailures.SEEDS;
import static garnetscale.core.sim.ConcurrentFailures.assertOccurred;
import static garnetscale.core.sim.ConcurrentFailures.cancelRunning;
import static garnetscale.core.sim.ConcurrentFailures.play;
import static garnetscale.core.sim.ConcurrentFailures.submitLongJobs;
import static garnetscale.core.sim.ConcurrentFailures.submitShortJobs;

import java.util.Map;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/**
 * Each direct command that was carried out and answered reaches its machine again, moments to a minute later. On another service a task
 * then ran on two machines, and a cancelled one ran again. The rules find a task that runs twice, a start without a placement, and a
 * second start of one attempt. See {@link ConcurrentFailures}.
 */
class ConcurrentLateCommandTest {

    private static final long TROUBLES_END_MS = 110_000;
    private static final double NOTICE_S = 500;

    private static Map<String, Integer> playWithCopies(Consumer<SimulatedCluster> troubles) {
        return play(2 * SEEDS, cluster -> {
            cluster.repeatedCommands.repeatFor(TROUBLES_END_MS);
            submitLongJobs(cluster, 4);
            submitShortJobs(cluster, 40, 90_000);
            for (long time = 8000; time < 100_000; time += 5000) {
                cluster.at(
                        time,
                        () -> cancelRunning(
                                cluster, "", machine -> cluster.random.nextInt(6) == 0, "cancelled meanwhile"));
                cluster.at(time + 2500, () -> hangBriefly(cluster));
            }
            // The tasks of these machines are stopped and started elsewhere.
            cluster.at(25_000, () -> cluster.giveEvictionNotice(cluster.workers.get(0).id, NOTICE_S));
            cluster.at(60_000, () -> cluster.giveEvictionNotice(cluster.workers.get(3).id, NOTICE_S));
            for (int i = 0; i < 6; i++) {
                submitUnknownJob(cluster, "wk-4" + i, 5000 + 14_000L * i);
            }
            troubles.accept(cluster);
        });
    }

    /** Submits a job that the workers don't know for the first three seconds, so that they refuse its starts. */
    private static void submitUnknownJob(SimulatedCluster cluster, String id, long atMs) {
        cluster.at(atMs, () -> {
            cluster.unknownJobs.add(id);
            cluster.users.submit(id, "red", 2, 1, 5);
        });
        cluster.at(atMs + 3000, () -> cluster.unknownJobs.remove(id));
    }

    /** A machine hangs and is back within a second. */
    private static void hangBriefly(SimulatedCluster cluster) {
        String machine = cluster.workers.get(cluster.random.nextInt(cluster.workers.size())).id;
        cluster.hang(machine, 100 + cluster.random.nextInt(900));
    }

    private static void crashEvery(SimulatedCluster cluster, long periodMs, Consumer<SimulatedCluster> crash) {
        for (long time = 10_000; time < TROUBLES_END_MS; time += periodMs) {
            cluster.at(time + cluster.random.nextInt(2000), () -> crash.accept(cluster));
        }
    }

    private static String randomController(SimulatedCluster cluster) {
        return cluster.nodes.get(cluster.random.nextInt(cluster.nodes.size())).name;
    }

    private static void assertCopiesArrived(Map<String, Integer> occurred) {
        assertOccurred(
                occurred,
                SEEDS,
                "copy of a start rejected by its token",
                "copy of a start of a task that runs",
                "copy of a start of a task that is done",
                "copy of a start of a task that was stopped",
                "copy of a start of a task that was moved",
                "copy of a start that was refused",
                "copy of a start of a cancelled task");
    }

    @Test
    void copiesArriveUnderTheSameOwner() {
        Map<String, Integer> occurred = playWithCopies(cluster -> {});
        assertCopiesArrived(occurred);
        assertOccurred(occurred, SEEDS, "copy of a start under the same owner");
    }

    @Test
    void copiesArriveAfterTheirOwnerRestartedWithinASecond() {
        Map<String, Integer> occurred = playWithCopies(cluster ->
                crashEvery(cluster, 9000, each -> each.crash(randomController(each), 100 + each.random.nextInt(800))));
        assertCopiesArrived(occurred);
        assertOccurred(occurred, SEEDS, "copy of a start under another term of its owner");
    }

    @Test
    void copiesArriveUnderANewOwner() {
        Map<String, Integer> occurred = playWithCopies(cluster -> crashEvery(
                cluster, 14_000, each -> each.crash(randomController(each), 4000 + each.random.nextInt(3000))));
        assertCopiesArrived(occurred);
        assertOccurred(occurred, SEEDS, "copy of a start under a new owner");
    }

    /** All controllers are back within a second, and one crashes again amid the election. */
    @Test
    void copiesArriveAfterAllControllersRestartedWithinASecond() {
        Map<String, Integer> occurred = playWithCopies(cluster -> crashEvery(cluster, 16_000, each -> {
            each.nodes.forEach(node -> each.crash(node.name, 100 + each.random.nextInt(800)));
            each.at(1200 + each.random.nextInt(1500), () -> each.crash(randomController(each), 100));
        }));
        assertCopiesArrived(occurred);
        assertOccurred(occurred, SEEDS, "copy of a start under another term of its owner");
    }
}

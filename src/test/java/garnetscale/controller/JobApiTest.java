package garnetscale.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/**
 * No answer shows an older state of a job than an earlier answer of any controller, even if the answers to transactions are lost
 * or transactions are applied late.
 */
class JobApiTest {

    private static final int JOBS = 60;
    private static final int SEEDS = 20;

    /**
     * Simulates the scenario of one seed: jobs are submitted, end, are cancelled and looked up.
     *
     * @param answerLost share of transactions that are applied but whose answer is lost
     * @param late       share of transactions that are applied late, without an answer
     */
    private static ScriptedCluster simulate(
            long seed, double answerLost, double late, Consumer<ScriptedCluster> script) {
        ScriptedCluster cluster = new ScriptedCluster(seed);
        cluster.answerLost = answerLost;
        cluster.late = late;
        for (int i = 0; i < JOBS; i++) {
            String id = "wk-" + (100 + i);
            boolean bad = i % 10 == 9;
            cluster.at(
                    2000 + cluster.random.nextInt(20_000),
                    () -> cluster.submit(id, bad && id.endsWith("9") ? "nobody" : "red", 1));
            cluster.at(2000 + cluster.random.nextInt(20_000), cluster::lookUpNeverSubmitted);
        }
        script.accept(cluster);
        cluster.run(45_000);
        cluster.settle();
        return cluster;
    }

    /** Simulates all seeds, none of which may lead to a violation; returns how often each event occurred in all of them. */
    private static Map<String, Integer> simulateSeeds(
            double answerLost, double late, Consumer<ScriptedCluster> script) {
        Map<String, Integer> occurrences = new TreeMap<>();
        for (long seed = 1; seed <= SEEDS; seed++) {
            ScriptedCluster cluster = simulate(seed, answerLost, late, script);
            assertEquals(List.of(), cluster.violations, "seed " + seed);
            cluster.occurrences.forEach((event, times) -> occurrences.merge(event, times, Integer::sum));
        }
        return occurrences;
    }

    private static void assertOccurred(Map<String, Integer> occurrences, int times, String... events) {
        for (String event : events) {
            assertTrue(occurrences.getOrDefault(event, 0) >= times, event + ": " + occurrences);
        }
    }

    /** Each job is looked up at all controllers right after it was accepted, has ended or was confirmed as cancelled. */
    @Test
    void lookUpBurstsNeverShowAnOlderState() {
        Map<String, Integer> occurrences = simulateSeeds(0, 0, cluster -> {});
        assertOccurred(occurrences, 10_000, "burst request");
        assertOccurred(occurrences, 2000, "request at a stale replica");
        assertOccurred(occurrences, 100, "poll answered done", "cancellation answered withdrawn");
        assertOccurred(occurrences, 50, "cancellation answered done");
    }

    /** A copy of an accepted submission or of a cancellation arrives again, also after the job has ended. */
    @Test
    void transactionsThatArriveAgainChangeNothing() {
        Map<String, Integer> occurrences = simulateSeeds(0.1, 0, cluster -> cluster.repeated = 0.5);
        assertOccurred(occurrences, 200, "repeat answered 409");
        assertOccurred(occurrences, 50, "cancellation answered withdrawn", "cancellation answered done");
    }

    /**
     * Jobs are accepted and end while a controller is cut off, and the answer of its next watch lists the changes in any order. With
     * the removal of a job's key before the job's record, the ended job was called pending again.
     */
    @Test
    void aControllerThatWasCutOffGivesNoOlderAnswers() {
        Map<String, Integer> occurrences = simulateSeeds(0, 0, cluster -> {
            for (int i = 0; i < 3; i++) {
                ScriptedController controller = cluster.controllers.get(i);
                cluster.at(4000 + 6000L * i, () -> controller.cutFromStateAndPeers(5000));
            }
        });
        assertOccurred(occurrences, 100, "end of a job not announced", "request at a stale replica");
        assertOccurred(occurrences, 100, "poll answered done");
    }

    /** A transaction is applied but its answer is lost, while the other controllers read what it wrote. */
    @Test
    void outcomeIsReadAgainAfterALostAnswer() {
        Map<String, Integer> occurrences = simulateSeeds(0.3, 0, cluster -> {});
        assertOccurred(occurrences, 500, "applied, answer lost");
        assertOccurred(occurrences, 50, "cancellation answered withdrawn", "cancellation answered done");
    }

    /** A transaction is applied seconds late, after newer ones: it may not restart an ended job or cancel a done one. */
    @Test
    void lateTransactionDoesNotChangeADecidedState() {
        Map<String, Integer> occurrences = simulateSeeds(0.1, 0.3, cluster -> {});
        assertOccurred(occurrences, 50, "applied late", "late and rejected", "cancellation answered withdrawn");
    }

    /** The state service is down twice, which interrupts requests at any point: they are refused rather than answered wrongly. */
    @Test
    void outagesLeadToRefusalsNotToWrongAnswers() {
        Map<String, Integer> occurrences = simulateSeeds(0.1, 0.1, cluster -> {
            cluster.at(5000, () -> cluster.failingUntil = cluster.now + 4000);
            cluster.at(15_000, () -> cluster.failingUntil = cluster.now + 3000);
        });
        assertOccurred(occurrences, SEEDS * JOBS / 2, "accepted");
    }
}

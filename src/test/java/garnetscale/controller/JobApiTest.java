package garnetscale.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** No user is told anything older than any user was told before, at whichever controller, whatever becomes of transactions. */
class JobApiTest {

    private static final int JOBS = 60;
    private static final int SEEDS = 20;

    /** Plays users' day: jobs come, end, are cancelled and looked up, with this share of either kind of lost answer. */
    private static ScriptedCluster day(long seed, double answerLost, double late, Consumer<ScriptedCluster> script) {
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

    /** Plays many days, none of which may break a rule; returns how often what came about in all of them. */
    private static Map<String, Integer> days(double answerLost, double late, Consumer<ScriptedCluster> script) {
        Map<String, Integer> occurrences = new TreeMap<>();
        for (long seed = 1; seed <= SEEDS; seed++) {
            ScriptedCluster cluster = day(seed, answerLost, late, script);
            assertEquals(List.of(), cluster.violations, "seed " + seed);
            cluster.occurrences.forEach((what, times) -> occurrences.merge(what, times, Integer::sum));
        }
        return occurrences;
    }

    private static void assertMet(Map<String, Integer> occurrences, int times, String... events) {
        for (String event : events) {
            assertTrue(occurrences.getOrDefault(event, 0) >= times, event + ": " + occurrences);
        }
    }

    /** Right after a job was accepted, ended or confirmed as cancelled, looked up at all controllers. */
    @Test
    void closeLooksAreNeverAnsweredWithSomethingOlder() {
        Map<String, Integer> occurrences = days(0, 0, cluster -> {});
        assertMet(occurrences, 10_000, "close look");
        assertMet(occurrences, 2000, "asked where the replica was behind");
        assertMet(occurrences, 100, "told done", "told withdrawn on cancelling");
        assertMet(occurrences, 50, "told done on cancelling");
    }

    /** Only the answer is lost, while the other controllers read what was written. */
    @Test
    void aTransactionWhoseAnswerIsLostIsReadAgain() {
        Map<String, Integer> occurrences = days(0.3, 0, cluster -> {});
        assertMet(occurrences, 500, "carried out, answer lost");
        assertMet(occurrences, 50, "told withdrawn on cancelling", "told done on cancelling");
    }

    /** Carried out seconds later, after newer ones: an ended job isn't begun again, and a done one isn't cancelled. */
    @Test
    void aLateTransactionChangesNothingThatWasDecided() {
        Map<String, Integer> occurrences = days(0.1, 0.3, cluster -> {});
        assertMet(occurrences, 50, "carried out late", "late and overtaken", "told withdrawn on cancelling");
    }

    /** The state service is down twice, so that requests are cut off at any point of an answer. */
    @Test
    void anOutageBringsRefusalsAndNoGuesses() {
        Map<String, Integer> occurrences = days(0.1, 0.1, cluster -> {
            cluster.at(5000, () -> cluster.failingUntil = cluster.now + 4000);
            cluster.at(15_000, () -> cluster.failingUntil = cluster.now + 3000);
        });
        assertMet(occurrences, SEEDS * JOBS / 2, "accepted");
    }
}

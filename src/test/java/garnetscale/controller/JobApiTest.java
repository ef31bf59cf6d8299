package garnetscale.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** No user is told anything older than any user was told before, at whichever node, whatever becomes of transactions. */
class JobApiTest {

    private static final int JOBS = 60;
    private static final int SEEDS = 20;
    /** Plays users' day: jobs come, end, are cancelled and asked about, with this share of either kind of lost answer. */
    private static ScriptedCluster day(long seed, double answerLost, double late, Consumer<ScriptedCluster> more) {
        ScriptedCluster t = new ScriptedCluster(seed);
        t.answerLost = answerLost;
        t.late = late;
        for (int i = 0; i < JOBS; i++) {
            String id = "wk-" + (100 + i);
            boolean bad = i % 10 == 9;
            t.at(2000 + t.random.nextInt(20_000), () -> t.submit(id, bad && id.endsWith("9") ? "nobody" : "red", 1));
            t.at(
                    2000 + t.random.nextInt(20_000),
                    () -> t.ask(
                            t.any(),
                            "GET",
                            "/v2/runs/" + ScriptedCluster.NOBODYS,
                            null,
                            ScriptedCluster.NOBODYS,
                            r -> {}));
        }
        more.accept(t);
        t.run(45_000);
        t.settle();
        return t;
    }

    /** Plays many days, none of which may break a rule; returns how often what came about in all of them. */
    private static Map<String, Integer> days(double answerLost, double late, Consumer<ScriptedCluster> more) {
        Map<String, Integer> met = new TreeMap<>();
        for (long seed = 1; seed <= SEEDS; seed++) {
            ScriptedCluster t = day(seed, answerLost, late, more);
            assertEquals(List.of(), t.broken, "seed " + seed);
            t.met.forEach((what, times) -> met.merge(what, times, Integer::sum));
        }
        return met;
    }

    private static void least(Map<String, Integer> met, int times, String... whats) {
        for (String what : whats) {
            assertTrue(met.getOrDefault(what, 0) >= times, what + ": " + met);
        }
    }

    /** Right after a job was accepted, ended or confirmed as cancelled, asked at all nodes. */
    @Test
    void closeLooksAreNeverAnsweredWithSomethingOlder() {
        Map<String, Integer> met = days(0, 0, t -> {});
        least(met, 10_000, "close look");
        least(met, 2000, "asked where the mirror was behind");
        least(met, 100, "told done", "told withdrawn on cancelling");
        least(met, 50, "told done on cancelling");
    }

    /** Only the answer is lost, while the other nodes read what was written. */
    @Test
    void aTransactionWhoseAnswerIsLostIsReadAgain() {
        Map<String, Integer> met = days(0.3, 0, t -> {});
        least(met, 500, "carried out, answer lost");
        least(met, 50, "told withdrawn on cancelling", "told done on cancelling");
    }

    /** Carried out seconds later, after newer ones: an ended job isn't begun again, and a done one isn't cancelled. */
    @Test
    void aLateTransactionChangesNothingThatWasDecided() {
        Map<String, Integer> met = days(0.1, 0.3, t -> {});
        least(met, 50, "carried out late", "late and overtaken", "told withdrawn on cancelling");
    }

    /** The store is out twice, so that requests are cut off at any point of an answer. */
    @Test
    void anOutageBringsRefusalsAndNoGuesses() {
        Map<String, Integer> met = days(0.1, 0.1, t -> {
            t.at(5000, () -> t.failingUntil = t.now + 4000);
            t.at(15_000, () -> t.failingUntil = t.now + 3000);
        });
        least(met, SEEDS * JOBS / 2, "accepted");
    }
}

package garnetscale.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetscale.core.state.Keys;
import garnetscale.core.state.Transaction;
import garnetscale.emulator.StateModel;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * What a holder's grace runs from. A replica may only be called complete as of the sending of a request whose answer made it so:
 * had a lease's renewal, a watch that hung open through a refusal, or a page of a listing said so, a cancellation that another
 * node confirmed meanwhile would be missed for longer than it has.
 */
class StateLinkTest {

    private static final int SEEDS = 15;

    /** So many jobs that a listing takes several pages, and changes while it is read, with quiet seconds in which watches hang. */
    private static ScriptedCluster day(long seed) {
        ScriptedCluster t = new ScriptedCluster(seed);
        List<String> jobs = new ArrayList<>();
        for (int i = 0; i < 1300; i++) {
            String key = Keys.job("wk-" + (1000 + i));
            jobs.add(key);
            change(t, key);
        }
        for (int i = 0; i < 4000; i++) {
            t.at(i * 10L, () -> {
                if (t.now >= t.failingUntil && t.now % 9000 > 1200) {
                    change(t, jobs.get(t.random.nextInt(jobs.size())));
                }
            });
        }
        return t;
    }

    /** A job that is there is removed, and one that isn't comes. */
    private static void change(ScriptedCluster t, String key) {
        StateModel.Entry e = t.state.get(key);
        Transaction transaction = new Transaction().guard(key, e == null ? 0 : e.modRevision());
        assertEquals(
                200,
                t.state.commit(
                        e == null
                                ? transaction.put(
                                        key,
                                        ScriptedCluster.record(
                                                key.substring(Keys.job("").length())))
                                : transaction.delete(key)));
    }

    @Test
    void aViewIsCompleteAsOfTheSendingOfWhatConfirmsIt() {
        Map<String, Integer> met = new TreeMap<>();
        for (long seed = 1; seed <= SEEDS; seed++) {
            ScriptedCluster t = day(seed);
            ScriptedController leader = t.controllers.get(0);
            t.at(9400 + t.random.nextInt(400), () -> leader.refuse(5000));
            t.at(18_400 + t.random.nextInt(400), () -> leader.refuse(4000));
            t.at(20_000, () -> t.failingUntil = t.now + 6000);
            t.at(27_500, () -> t.controllers.get(1).refuse(2000));
            t.run(40_000);
            assertEquals(List.of(), t.violations, "seed " + seed);
            t.controllers.forEach(d -> assertTrue(t.now - d.confirmedAt < 2000, "confirmed again once all is well"));
            t.met.forEach((what, times) -> met.merge(what, times, Integer::sum));
        }
        for (String what : List.of("a watch hung open through a refusal", "listed in several pages", "lease lost")) {
            assertTrue(met.getOrDefault(what, 0) >= SEEDS, what + ": " + met);
        }
        assertTrue(met.get("confirmed") > 60 * SEEDS, met.toString());
    }
}

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
 * An owner's grace period runs from the time as of which its replica is confirmed: the sending of a request whose answer made the
 * replica complete. If a keep-alive, a watch that was open during a refusal, or a page of a listing confirmed the replica, a
 * cancellation that another controller confirmed meanwhile would be missed for longer than the grace period.
 */
class StateLinkTest {

    private static final int SEEDS = 15;

    /**
     * Stores enough jobs that a listing takes several pages, and changes them while it is read. Of every 9 s, 1.2 s are without
     * changes, so that watches stay open.
     */
    private static ScriptedCluster scenario(long seed) {
        ScriptedCluster cluster = new ScriptedCluster(seed);
        List<String> jobs = new ArrayList<>();
        for (int i = 0; i < 1300; i++) {
            String key = Keys.job("wk-" + (1000 + i));
            jobs.add(key);
            change(cluster, key);
        }
        for (int i = 0; i < 4000; i++) {
            cluster.at(i * 10L, () -> {
                if (cluster.now >= cluster.failingUntil && cluster.now % 9000 > 1200) {
                    change(cluster, jobs.get(cluster.random.nextInt(jobs.size())));
                }
            });
        }
        return cluster;
    }

    /** Removes a stored job, or stores one that isn't there. */
    private static void change(ScriptedCluster cluster, String key) {
        StateModel.Entry entry = cluster.state.get(key);
        Transaction transaction = new Transaction().guard(key, entry == null ? 0 : entry.modRevision());
        assertEquals(
                200,
                cluster.state.commit(
                        entry == null
                                ? transaction.put(
                                        key,
                                        ScriptedCluster.record(
                                                key.substring(Keys.job("").length())))
                                : transaction.delete(key)));
    }

    @Test
    void replicaContainsWhatWasStoredWhenTheConfirmingRequestWasSent() {
        Map<String, Integer> occurrences = new TreeMap<>();
        for (long seed = 1; seed <= SEEDS; seed++) {
            ScriptedCluster cluster = scenario(seed);
            ScriptedController leader = cluster.controllers.get(0);
            cluster.at(9400 + cluster.random.nextInt(400), () -> leader.refuse(5000));
            cluster.at(18_400 + cluster.random.nextInt(400), () -> leader.refuse(4000));
            cluster.at(20_000, () -> cluster.failingUntil = cluster.now + 6000);
            cluster.at(27_500, () -> cluster.controllers.get(1).refuse(2000));
            cluster.run(40_000);
            assertEquals(List.of(), cluster.violations, "seed " + seed);
            cluster.controllers.forEach(controller ->
                    assertTrue(cluster.now - controller.confirmedAt < 2000, "confirmed again after the outages"));
            cluster.occurrences.forEach((event, times) -> occurrences.merge(event, times, Integer::sum));
        }
        for (String event : List.of("watch open during a refusal", "listed in several pages", "lease lost")) {
            assertTrue(occurrences.getOrDefault(event, 0) >= SEEDS, event + ": " + occurrences);
        }
        assertTrue(occurrences.get("confirmed") > 60 * SEEDS, occurrences.toString());
    }
}

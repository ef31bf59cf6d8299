package garnetscale.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetscale.core.job.JobState;
import garnetscale.core.state.Keys;
import garnetscale.core.state.Records;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** Look-ups of terminal jobs and of jobs that were never submitted. */
class TerminalJobIndexTest {

    private static final int TRANSACTION_OPS = 32;
    private static final int CACHE_SIZE = 50;
    private static final Records.TerminalJob DONE = new Records.TerminalJob(JobState.DONE, 3, 3, "red");

    /** Holds reads until {@link #answerAll}. Names only the first of the existing keys, the least that the protocol promises. */
    private static final class Store implements TerminalJobIndex.Store {
        final Map<String, Object> values = new HashMap<>();
        final Deque<Runnable> pending = new ArrayDeque<>();
        int requests;
        boolean failing;

        @Override
        public void whenReadAllowed(Runnable task) {
            pending.add(task);
        }

        @Override
        public void get(String key, BiConsumer<Boolean, Object> done) {
            requests++;
            done.accept(!failing, failing ? null : values.get(key));
        }

        @Override
        public void findExisting(List<String> keys, Consumer<Set<String>> done) {
            requests++;
            done.accept(
                    failing
                            ? null
                            : keys.stream().filter(values::containsKey).limit(1).collect(Collectors.toSet()));
        }

        void answerAll() {
            while (!pending.isEmpty()) {
                pending.poll().run();
            }
        }
    }

    private final Store store = new Store();
    private final TerminalJobIndex terminalJobs = new TerminalJobIndex(TRANSACTION_OPS, CACHE_SIZE, store);
    private final Map<String, String> results = new TreeMap<>();

    private void lookUp(String id) {
        terminalJobs.lookUp(
                id,
                (known, job) -> results.put(
                        id,
                        !known ? "unknown" : job == null ? "never" : job.state().name()));
    }

    /** Guards against a read for each look-up: a controller may make only eight reads a second. */
    @Test
    void hundredLookUpsOfAbsentJobsTakeOneRequest() {
        for (int i = 0; i < 100; i++) {
            lookUp("wk-" + i);
        }
        store.answerAll();
        assertEquals(100, results.size());
        assertEquals(Set.of("never"), Set.copyOf(results.values()));
        assertEquals(1, store.requests);
    }

    /** A terminal job must not be taken for absent because the service's answer names only some of the existing keys. */
    @Test
    void existingJobsAreFoundAmongAbsentOnes() {
        for (int i = 0; i < 40; i++) {
            if (i % 10 == 3) {
                store.values.put(Keys.terminalJob("wk-" + i), Records.terminalJob(DONE));
            }
            lookUp("wk-" + i);
        }
        store.answerAll();
        for (int i = 0; i < 40; i++) {
            assertEquals(i % 10 == 3 ? "DONE" : "never", results.get("wk-" + i), "wk-" + i);
        }
        lookUp("wk-3");
        assertTrue(store.pending.isEmpty(), "a job that was read is cached");
    }

    @Test
    void lookUpsOfOneJobShareAnAnswer() {
        List<String> answers = new ArrayList<>();
        for (int i = 0; i < 1000; i++) {
            terminalJobs.lookUp("wk-1", (known, job) -> answers.add(String.valueOf(job)));
        }
        store.answerAll();
        assertEquals(1000, answers.size());
        assertEquals(1, store.requests);
    }

    /** Look-ups beyond two full batches aren't queued, and a failed request isn't taken for an absent job. */
    @Test
    void lookUpsBeyondTheQueueLimitAreRefusedAtOnce() {
        store.failing = true;
        for (int i = 0; i < 1000; i++) {
            lookUp("wk-" + i);
        }
        assertEquals(1000 - 2 * 4 * TRANSACTION_OPS, results.size());
        store.answerAll();
        assertEquals(Set.of("unknown"), Set.copyOf(results.values()));
        assertEquals(1000, results.size());
    }

    /** The cache size follows from the settings; beyond it the least recently used job is evicted and read again. */
    @Test
    void leastRecentlyUsedJobIsEvicted() {
        for (int i = 0; i <= CACHE_SIZE; i++) {
            terminalJobs.remember("wk-" + i, DONE);
        }
        lookUp("wk-" + CACHE_SIZE);
        lookUp("wk-1");
        assertEquals(0, store.requests);
        lookUp("wk-0");
        store.answerAll();
        assertTrue(store.requests > 0, "more jobs are cached than allowed");
    }

    @Test
    void rememberedJobNeedsNoRequest() {
        terminalJobs.remember("wk-1", DONE);
        lookUp("wk-1");
        assertEquals("DONE", results.get("wk-1"));
        assertEquals(0, store.requests);
    }
}

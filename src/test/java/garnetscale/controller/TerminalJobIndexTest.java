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

/** Many users ask about jobs that are over, or that nobody has submitted. */
class TerminalJobIndexTest {

    private static final int TRANSACTION_OPS = 32;
    private static final int REMEMBERED = 50;
    private static final Records.TerminalJob DONE = new Records.TerminalJob(JobState.DONE, 3, 3, "red");

    /** Answers when told to; of the keys that are there it names only the first, as little as the protocol promises. */
    private static final class Store implements TerminalJobIndex.Store {
        final Map<String, Object> values = new HashMap<>();
        final Deque<Runnable> underWay = new ArrayDeque<>();
        int requests;
        boolean silent;

        @Override
        public void whenReadable(Runnable run) {
            underWay.add(run);
        }

        @Override
        public void get(String key, BiConsumer<Boolean, Object> done) {
            requests++;
            done.accept(!silent, silent ? null : values.get(key));
        }

        @Override
        public void present(List<String> keys, Consumer<Set<String>> done) {
            requests++;
            done.accept(
                    silent
                            ? null
                            : keys.stream().filter(values::containsKey).limit(1).collect(Collectors.toSet()));
        }

        void work() {
            while (!underWay.isEmpty()) {
                underWay.poll().run();
            }
        }
    }

    private final Store store = new Store();
    private final TerminalJobIndex terminalJobs = new TerminalJobIndex(TRANSACTION_OPS, REMEMBERED, store);
    private final Map<String, String> told = new TreeMap<>();

    private void ask(String id) {
        terminalJobs.lookUp(
                id,
                (sure, how) -> told.put(
                        id,
                        !sure ? "unknown" : how == null ? "never" : how.state().name()));
    }

    /** Each question used to cost a read, of which a node may make eight a second. */
    @Test
    void aHundredQuestionsAboutNothingTakeOneRequest() {
        for (int i = 0; i < 100; i++) {
            ask("wk-" + i);
        }
        store.work();
        assertEquals(100, told.size());
        assertEquals(Set.of("never"), Set.copyOf(told.values()));
        assertEquals(1, store.requests);
    }

    /** A job that is over must never be called unknown because the answer names only some of those that are there. */
    @Test
    void whatIsThereIsFoundAmongTheRest() {
        for (int i = 0; i < 40; i++) {
            if (i % 10 == 3) {
                store.values.put(Keys.terminalJob("wk-" + i), Records.terminalJob(DONE));
            }
            ask("wk-" + i);
        }
        store.work();
        for (int i = 0; i < 40; i++) {
            assertEquals(i % 10 == 3 ? "DONE" : "never", told.get("wk-" + i), "wk-" + i);
        }
        ask("wk-3");
        assertTrue(store.underWay.isEmpty(), "what was read once is known");
    }

    @Test
    void oneJobsUsersShareAnAnswer() {
        List<String> answers = new ArrayList<>();
        for (int i = 0; i < 1000; i++) {
            terminalJobs.lookUp("wk-1", (sure, how) -> answers.add(String.valueOf(how)));
        }
        store.work();
        assertEquals(1000, answers.size());
        assertEquals(1, store.requests);
    }

    /** More than two requests' worth isn't held back, and nobody's silence is taken for "never". */
    @Test
    void whatCannotBeAskedIsRefusedAtOnce() {
        store.silent = true;
        for (int i = 0; i < 1000; i++) {
            ask("wk-" + i);
        }
        assertEquals(1000 - 2 * 4 * TRANSACTION_OPS, told.size());
        store.work();
        assertEquals(Set.of("unknown"), Set.copyOf(told.values()));
        assertEquals(1000, told.size());
    }

    /** What is kept follows from the settings; beyond it the end that was asked for the longest ago is read again. */
    @Test
    void endsAreRememberedUpToTheBound() {
        for (int i = 0; i <= REMEMBERED; i++) {
            terminalJobs.remember("wk-" + i, DONE);
        }
        ask("wk-" + REMEMBERED);
        ask("wk-1");
        assertEquals(0, store.requests);
        ask("wk-0");
        store.work();
        assertTrue(store.requests > 0, "more is remembered than was allowed");
    }

    @Test
    void whatTheLeaderTellsNeedsNoRequest() {
        terminalJobs.remember("wk-1", DONE);
        ask("wk-1");
        assertEquals("DONE", told.get("wk-1"));
        assertEquals(0, store.requests);
    }
}

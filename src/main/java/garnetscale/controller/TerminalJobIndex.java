package garnetscale.controller;

import garnetscale.core.state.Keys;
import garnetscale.core.state.Records;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * What is known of jobs that are over, and the questions about those that the replica doesn't hold. Users ask about jobs that
 * nobody has submitted, too, and each such question would cost a request: so many questions are put as one, by comparing
 * all their keys with "isn't there" in a transaction that changes nothing. Only what is there is read by itself.
 */
final class TerminalJobIndex {

    /** Conditions that a transaction may have, in multiples of its changes. */
    private static final int CONDITIONS = 4;
    /** Questions that may wait, in multiples of what one request takes; more than that are refused at once. */
    private static final int REQUESTS = 2;

    /** Where the ends of jobs are kept; each call but the first is one request. */
    interface Store {
        /** Runs once there is room for a request. */
        void whenReadable(Runnable run);

        /** Calls back with a key's value, or null when it isn't there; false when nobody knows. */
        void get(String key, BiConsumer<Boolean, Object> done);

        /**
         * Which of the keys are there: none when the set is empty, at least those in it otherwise; null when nobody knows. A
         * transaction without changes compares them all in one request.
         */
        void present(List<String> keys, Consumer<Set<String>> done);
    }

    private interface Asker extends BiConsumer<Boolean, Records.TerminalJob> {}

    private record Question(String id, List<Asker> askers) {
        void answer(boolean sure, Records.TerminalJob terminalJob) {
            askers.forEach(a -> a.accept(sure, terminalJob));
        }
    }

    private final Store state;
    private final int atOnce;
    private final Map<String, Question> waiting = new LinkedHashMap<>();
    /** Found to be there, and still to be read. */
    private final Deque<Question> there = new ArrayDeque<>();

    private boolean busy;
    /** Jobs that are over; their state never changes again. */
    private final Map<String, Records.TerminalJob> over;

    /** At most {@code remembered} ends are kept, the latest asked for. */
    TerminalJobIndex(int transactionOps, int remembered, Store state) {
        this.state = state;
        this.over = new LinkedHashMap<>(64, 0.75f, true) {
            @Override
            protected boolean removeEldestEntry(Map.Entry<String, Records.TerminalJob> eldest) {
                return size() > remembered;
            }
        };
        this.atOnce = CONDITIONS * transactionOps;
    }

    /** How the job ended, if that is known here. */
    Records.TerminalJob known(String id) {
        return over.get(id);
    }

    /** The job is over, by a transaction that is known to be applied. */
    void learn(String id, Records.TerminalJob terminalJob) {
        over.put(id, terminalJob);
    }

    /** Calls back with how the job ended, or null when it isn't over; false when nobody can tell. */
    void ask(String id, BiConsumer<Boolean, Records.TerminalJob> answer) {
        Records.TerminalJob known = over.get(id);
        if (known != null) {
            answer.accept(true, known);
            return;
        }
        if (!waiting.containsKey(id) && waiting.size() + there.size() >= REQUESTS * atOnce) {
            answer.accept(false, null);
            return;
        }
        waiting.computeIfAbsent(id, k -> new Question(k, new ArrayList<>()))
                .askers()
                .add(answer::accept);
        next();
    }

    private void next() {
        if (busy || waiting.isEmpty() && there.isEmpty()) {
            return;
        }
        busy = true;
        state.whenReadable(() -> {
            if (!there.isEmpty()) {
                read(there.poll());
            } else if (waiting.size() == 1) {
                read(take().get(0));
            } else {
                compare(take());
            }
        });
    }

    /** Takes questions out of the queue: one that comes from now on wants an answer of its own. */
    private List<Question> take() {
        List<Question> batch = new ArrayList<>();
        Iterator<Question> i = waiting.values().iterator();
        while (i.hasNext() && batch.size() < atOnce) {
            batch.add(i.next());
            i.remove();
        }
        return batch;
    }

    private void done() {
        busy = false;
        next();
    }

    private void read(Question q) {
        state.get(Keys.terminalJob(q.id()), (sure, value) -> {
            Records.TerminalJob terminalJob = value == null ? null : Records.terminalJob(value);
            if (terminalJob != null) {
                over.put(q.id(), terminalJob);
            }
            q.answer(sure, terminalJob);
            done();
        });
    }

    private void compare(List<Question> batch) {
        state.present(batch.stream().map(q -> Keys.terminalJob(q.id())).toList(), present -> {
            for (Question q : batch) {
                if (present == null) {
                    q.answer(false, null);
                } else if (present.isEmpty()) {
                    q.answer(true, null);
                } else if (present.contains(Keys.terminalJob(q.id()))) {
                    there.add(q);
                } else {
                    // The answer needn't name all that failed: asked again without those that it did name.
                    waiting.merge(q.id(), q, (newer, old) -> {
                        old.askers().addAll(newer.askers());
                        return old;
                    });
                }
            }
            done();
        });
    }
}

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
 * Finds jobs that are terminal and no longer in the replica. Users also ask for jobs that were never submitted, and each
 * look-up by itself would cost a request. So many look-ups share one: a transaction without changes compares all their keys
 * with "doesn't exist". Only keys that exist are read one by one. Lives on the event loop.
 */
final class TerminalJobIndex {

    /** Guards that a transaction may have, in multiples of the changes it may have. */
    private static final int GUARDS_PER_CHANGE = 4;
    /** Look-ups that may be queued, in multiples of what one request takes; beyond this they are refused at once. */
    private static final int MAX_QUEUED_REQUESTS = 2;

    private static final int INITIAL_CAPACITY = 64;
    private static final float LOAD_FACTOR = 0.75f;

    /** Where terminal jobs are stored; each call but the first is one request. */
    interface Store {
        /** Runs the action once a request may be sent within the limits. */
        void whenReadable(Runnable run);

        /** Calls back with a key's value, or null when it doesn't exist; with false when it can't be known. */
        void get(String key, BiConsumer<Boolean, Object> done);

        /**
         * Calls back with keys that exist: with an empty set when none does, else with at least one of those that do; with
         * null when it can't be known.
         */
        void present(List<String> keys, Consumer<Set<String>> done);
    }

    /** All that wait for the same job. */
    private record Lookup(String id, List<TerminalJobCallback> callbacks) {

        String key() {
            return Keys.terminalJob(id);
        }

        void complete(boolean known, Records.TerminalJob job) {
            callbacks.forEach(callback -> callback.accept(known, job));
        }
    }

    private final Store store;
    private final int batchSize;
    private final Map<String, Lookup> queued = new LinkedHashMap<>();
    /** Look-ups whose key exists and is still to be read. */
    private final Deque<Lookup> toRead = new ArrayDeque<>();
    /** A terminal job never changes again, so that what was read once can be kept. */
    private final Map<String, Records.TerminalJob> cache;

    private boolean requestPending;

    /** Keeps at most {@code cacheSize} jobs, those that were asked for last. */
    TerminalJobIndex(int transactionOps, int cacheSize, Store store) {
        this.store = store;
        this.cache = new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
            @Override
            protected boolean removeEldestEntry(Map.Entry<String, Records.TerminalJob> eldest) {
                return size() > cacheSize;
            }
        };
        this.batchSize = GUARDS_PER_CHANGE * transactionOps;
    }

    /** The job from the cache, or null when it isn't there. */
    Records.TerminalJob cached(String id) {
        return cache.get(id);
    }

    /** Remembers a job whose end is known to be stored. */
    void remember(String id, Records.TerminalJob job) {
        cache.put(id, job);
    }

    /** Looks a job up in the cache, or else in the state service. */
    void lookUp(String id, TerminalJobCallback callback) {
        Records.TerminalJob job = cache.get(id);
        if (job != null) {
            callback.accept(true, job);
            return;
        }
        if (!queued.containsKey(id) && queued.size() + toRead.size() >= MAX_QUEUED_REQUESTS * batchSize) {
            callback.accept(false, null);
            return;
        }
        queued.computeIfAbsent(id, key -> new Lookup(key, new ArrayList<>()))
                .callbacks()
                .add(callback);
        sendNext();
    }

    private void sendNext() {
        if (requestPending || queued.isEmpty() && toRead.isEmpty()) {
            return;
        }
        requestPending = true;
        store.whenReadable(() -> {
            if (!toRead.isEmpty()) {
                read(toRead.poll());
            } else if (queued.size() == 1) {
                read(takeBatch().get(0));
            } else {
                compare(takeBatch());
            }
        });
    }

    /** Takes look-ups out of the queue: one for the same job that comes from now on needs a newer answer. */
    private List<Lookup> takeBatch() {
        List<Lookup> batch = new ArrayList<>();
        Iterator<Lookup> lookups = queued.values().iterator();
        while (lookups.hasNext() && batch.size() < batchSize) {
            batch.add(lookups.next());
            lookups.remove();
        }
        return batch;
    }

    private void requestDone() {
        requestPending = false;
        sendNext();
    }

    private void read(Lookup lookup) {
        store.get(lookup.key(), (known, value) -> {
            Records.TerminalJob job = value == null ? null : Records.terminalJob(value);
            if (job != null) {
                cache.put(lookup.id(), job);
            }
            lookup.complete(known, job);
            requestDone();
        });
    }

    private void compare(List<Lookup> batch) {
        store.present(batch.stream().map(Lookup::key).toList(), present -> {
            for (Lookup lookup : batch) {
                if (present == null) {
                    lookup.complete(false, null);
                } else if (present.isEmpty()) {
                    lookup.complete(true, null);
                } else if (present.contains(lookup.key())) {
                    toRead.add(lookup);
                } else {
                    compareAgain(lookup);
                }
            }
            requestDone();
        });
    }

    /** The answer needn't name all keys that exist; the others are compared again without those that it named. */
    private void compareAgain(Lookup lookup) {
        queued.merge(lookup.id(), lookup, (newer, older) -> {
            older.callbacks().addAll(newer.callbacks());
            return older;
        });
    }
}

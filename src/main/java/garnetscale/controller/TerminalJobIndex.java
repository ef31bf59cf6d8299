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
 * Looks up terminal jobs, which are no longer in the replica. Users also ask for jobs that were never submitted, and each look-up
 * by itself would cost a request. Look-ups are therefore batched: one transaction without operations guards each of their keys
 * with "doesn't exist". Only keys that exist are read one by one. Confined to the event loop.
 */
final class TerminalJobIndex {

    /** Limit on the guards of a transaction, as a multiple of the limit on its operations. */
    private static final int GUARDS_PER_OPERATION = 4;
    /** Limit on queued look-ups, as a multiple of the batch size; look-ups beyond it are refused at once. */
    private static final int MAX_QUEUED_BATCHES = 2;

    private static final int INITIAL_CAPACITY = 64;
    private static final float LOAD_FACTOR = 0.75f;

    /** Access to the stored terminal jobs; each call except {@link #whenReadAllowed} sends one request. */
    interface Store {
        /** Runs a task once the rate limit allows a read. */
        void whenReadAllowed(Runnable task);

        /**
         * Reads a key.
         *
         * @param done receives whether the result is known, and the key's value, or null if it doesn't exist or isn't known
         */
        void get(String key, BiConsumer<Boolean, Object> done);

        /**
         * Finds out which of the keys exist.
         *
         * @param done receives an empty set if no key exists, otherwise a set with at least one of those that do; null if the
         *             result isn't known
         */
        void findExisting(List<String> keys, Consumer<Set<String>> done);
    }

    /** A look-up of one job, with the callbacks of all that wait for it. */
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
    /** Look-ups whose key exists but hasn't been read yet. */
    private final Deque<Lookup> toRead = new ArrayDeque<>();
    /** Terminal jobs by id; they never change, so that cached ones stay valid. */
    private final Map<String, Records.TerminalJob> cache;

    private boolean requestPending;

    /**
     * Creates an empty index.
     *
     * @param transactionOps limit on the operations of one transaction
     * @param cacheSize      how many jobs are cached: the most recently used ones
     */
    TerminalJobIndex(int transactionOps, int cacheSize, Store store) {
        this.store = store;
        this.cache = new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
            @Override
            protected boolean removeEldestEntry(Map.Entry<String, Records.TerminalJob> eldest) {
                return size() > cacheSize;
            }
        };
        this.batchSize = GUARDS_PER_OPERATION * transactionOps;
    }

    /** Returns the job from the cache, or null if it isn't cached. */
    Records.TerminalJob cached(String id) {
        return cache.get(id);
    }

    /** Caches a job whose terminal record is known to be stored. */
    void remember(String id, Records.TerminalJob job) {
        cache.put(id, job);
    }

    /** Looks up a job in the cache, then in the state service. */
    void lookUp(String id, TerminalJobCallback callback) {
        Records.TerminalJob job = cache.get(id);
        if (job != null) {
            callback.accept(true, job);
            return;
        }
        if (!queued.containsKey(id) && queued.size() + toRead.size() >= MAX_QUEUED_BATCHES * batchSize) {
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
        store.whenReadAllowed(() -> {
            if (!toRead.isEmpty()) {
                read(toRead.poll());
            } else if (queued.size() == 1) {
                read(takeBatch().get(0));
            } else {
                checkExistence(takeBatch());
            }
        });
    }

    /** Removes a batch from the queue, since a later look-up of the same job needs a newer answer. */
    private List<Lookup> takeBatch() {
        List<Lookup> batch = new ArrayList<>();
        Iterator<Lookup> lookups = queued.values().iterator();
        while (lookups.hasNext() && batch.size() < batchSize) {
            batch.add(lookups.next());
            lookups.remove();
        }
        return batch;
    }

    private void onRequestDone() {
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
            onRequestDone();
        });
    }

    private void checkExistence(List<Lookup> batch) {
        store.findExisting(batch.stream().map(Lookup::key).toList(), existing -> {
            for (Lookup lookup : batch) {
                if (existing == null) {
                    lookup.complete(false, null);
                } else if (existing.isEmpty()) {
                    lookup.complete(true, null);
                } else if (existing.contains(lookup.key())) {
                    toRead.add(lookup);
                } else {
                    requeue(lookup);
                }
            }
            onRequestDone();
        });
    }

    /** Queues a look-up again: the answer may name only some of the existing keys, so the others are checked without these. */
    private void requeue(Lookup lookup) {
        queued.merge(lookup.id(), lookup, (newer, older) -> {
            older.callbacks().addAll(newer.callbacks());
            return older;
        });
    }
}

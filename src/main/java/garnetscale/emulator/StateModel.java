package garnetscale.emulator;

import garnetscale.core.state.KeyChange;
import garnetscale.core.state.Transaction;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/** An in-memory model of the state service by its published protocol; callers pass in the time in milliseconds. */
public final class StateModel {

    /**
     * The stored entry of a key.
     *
     * @param modRevision the revision of its last change
     * @param lease       the lease that the key is attached to; 0 for none
     */
    public record Entry(Object value, long modRevision, long lease) {}

    private static final class Lease {
        final long ttlMs;
        long expiresAt;

        Lease(long ttlMs, long now) {
            this.ttlMs = ttlMs;
            this.expiresAt = now + ttlMs;
        }
    }

    private final TreeMap<String, Entry> keys = new TreeMap<>();
    /** All changes, in the order of their revisions. */
    private final List<KeyChange> log = new ArrayList<>();

    private final Map<Long, Lease> leases = new TreeMap<>();
    /** For each transaction that was rejected for its size, the limit that it exceeded. */
    private final List<String> oversized = new ArrayList<>();
    /** Applied transactions whose guards still held afterwards. */
    private final List<String> repeatable = new ArrayList<>();

    private final StateLimits limits;
    /** Rearranges the changes of an answer. */
    private Consumer<List<KeyChange>> changeOrder = oldestFirst -> {};

    private long revision;
    private long lastLease;

    /** Creates an empty service without limits. */
    public StateModel() {
        this(StateLimits.NONE);
    }

    /** Creates an empty service that rejects transactions above the limits. */
    public StateModel(StateLimits limits) {
        this.limits = limits;
    }

    /** Returns the limit exceeded by each transaction that was rejected for its size, in the order of their arrival. */
    public List<String> oversized() {
        return oversized;
    }

    /**
     * Returns the applied transactions whose guards still held afterwards, so that a copy of the request that arrives later would be
     * applied again, in the order of their arrival.
     */
    public List<String> repeatable() {
        return repeatable;
    }

    /** Returns the revision of the last change; 0 before the first. */
    public long revision() {
        return revision;
    }

    /** Returns the entry of a key, or null if the key doesn't exist. */
    public Entry get(String key) {
        return keys.get(key);
    }

    /** Removes the expired leases and their keys. */
    public void expireLeases(long now) {
        for (long id : List.copyOf(leases.keySet())) {
            if (leases.get(id).expiresAt < now) {
                revokeLease(id);
            }
        }
    }

    /** Grants a lease and returns its id. */
    public long grantLease(long now, long ttlMs) {
        leases.put(++lastLease, new Lease(ttlMs, now));
        return lastLease;
    }

    /** Renews a lease for its full duration. Returns false if the lease doesn't exist. */
    public boolean renewLease(long now, long id) {
        Lease lease = leases.get(id);
        if (lease == null) {
            return false;
        }
        lease.expiresAt = now + lease.ttlMs;
        return true;
    }

    /** Renews all leases for their full duration, as the service does after an outage. */
    public void renewAllLeases(long now) {
        leases.values().forEach(lease -> lease.expiresAt = now + lease.ttlMs);
    }

    /** Removes a lease and its keys. Returns false if the lease doesn't exist. */
    public boolean revokeLease(long id) {
        if (leases.remove(id) == null) {
            return false;
        }
        List<String> attached = keys.entrySet().stream()
                .filter(entry -> entry.getValue().lease() == id)
                .map(Map.Entry::getKey)
                .toList();
        if (!attached.isEmpty()) {
            revision++;
            attached.forEach(this::remove);
        }
        return true;
    }

    private void remove(String key) {
        if (keys.remove(key) != null) {
            log.add(new KeyChange(key, null, revision));
        }
    }

    /**
     * Applies a transaction.
     *
     * @return 200 if it was applied; 409 if a guard failed; 400 if it exceeds a limit or names a lease that doesn't exist
     */
    public int commit(Transaction transaction) {
        String violation = limits.violation(transaction);
        if (violation != null) {
            oversized.add(violation);
            return 400;
        }
        if (!guardsHold(transaction)) {
            return 409;
        }
        for (Transaction.Op operation : transaction.ops()) {
            if (operation.lease() != 0 && !leases.containsKey(operation.lease())) {
                return 400;
            }
        }
        if (!transaction.ops().isEmpty()) {
            revision++;
        }
        for (Transaction.Op operation : transaction.ops()) {
            if (operation.value() == null) {
                remove(operation.key());
            } else {
                keys.put(operation.key(), new Entry(operation.value(), revision, operation.lease()));
                log.add(new KeyChange(operation.key(), operation.value(), revision));
            }
        }
        if (!transaction.ops().isEmpty() && guardsHold(transaction)) {
            repeatable.add(transaction.toString());
        }
        return 200;
    }

    private boolean guardsHold(Transaction transaction) {
        return transaction.guards().entrySet().stream().allMatch(guard -> {
            Entry entry = keys.get(guard.getKey());
            return (entry == null ? 0 : entry.modRevision()) == guard.getValue();
        });
    }

    /**
     * Returns the entries of keys with a prefix, in the order of the keys.
     *
     * @param after the key after which the page begins; null for the first page
     * @param limit the maximum number of entries
     */
    public List<KeyChange> list(String prefix, String after, int limit) {
        List<KeyChange> page = new ArrayList<>();
        for (Map.Entry<String, Entry> entry : keys.tailMap(prefix, true).entrySet()) {
            if (!entry.getKey().startsWith(prefix) || page.size() == limit) {
                break;
            }
            if (after == null || entry.getKey().compareTo(after) > 0) {
                page.add(new KeyChange(
                        entry.getKey(),
                        entry.getValue().value(),
                        entry.getValue().modRevision()));
            }
        }
        return page;
    }

    /**
     * Sets the order in which {@link #changes} returns the changes, which the protocol leaves open; without a call, the oldest comes
     * first.
     *
     * @param order rearranges a list of changes, which it gets with the oldest first
     */
    public void orderChanges(Consumer<List<KeyChange>> order) {
        changeOrder = order;
    }

    /** Returns the changes of keys with a prefix after the revision {@code since}. */
    public List<KeyChange> changes(String prefix, long since) {
        int from = log.size();
        while (from > 0 && log.get(from - 1).modRevision() > since) {
            from--;
        }
        List<KeyChange> changes = new ArrayList<>();
        for (KeyChange change : log.subList(from, log.size())) {
            if (change.key().startsWith(prefix)) {
                changes.add(change);
            }
        }
        changeOrder.accept(changes);
        return changes;
    }
}

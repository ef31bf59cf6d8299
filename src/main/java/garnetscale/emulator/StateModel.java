package garnetscale.emulator;

import garnetscale.core.state.KeyChange;
import garnetscale.core.state.Transaction;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The state service by its published protocol, in memory, with the time passed in. */
public final class StateModel {

    /** The value of a key, the revision of its last change, and the lease that it is attached to (0: none). */
    public record Entry(Object value, long modRevision, long lease) {}

    private static final class Lease {
        final long ttlMs;
        long until;

        Lease(long ttlMs, long now) {
            this.ttlMs = ttlMs;
            this.until = now + ttlMs;
        }
    }

    private final TreeMap<String, Entry> keys = new TreeMap<>();
    private final List<KeyChange> log = new ArrayList<>();
    private final Map<Long, Lease> leases = new TreeMap<>();
    /** Transactions that were refused for their size, and why. */
    private final List<String> oversized = new ArrayList<>();

    private final StateLimits limits;
    private long revision;
    private long lastLease;

    /** A service without limits. */
    public StateModel() {
        this(StateLimits.NONE);
    }

    /** Creates an empty service that rejects what exceeds the limits. */
    public StateModel(StateLimits limits) {
        this.limits = limits;
    }

    /** What was wrong with the transactions that were rejected for their size. */
    public List<String> oversized() {
        return oversized;
    }

    /** The revision of the last change. */
    public long revision() {
        return revision;
    }

    /** The entry of a key, or null. */
    public Entry get(String key) {
        return keys.get(key);
    }

    /** Ends the leases that have expired, and removes their keys. */
    public void expire(long now) {
        for (long id : List.copyOf(leases.keySet())) {
            if (leases.get(id).until < now) {
                end(id);
            }
        }
    }

    /** Grants a lease; returns its id. */
    public long grant(long now, long ttlMs) {
        leases.put(++lastLease, new Lease(ttlMs, now));
        return lastLease;
    }

    /** Renews a lease for its full time; false if there is none. */
    public boolean touch(long now, long id) {
        Lease lease = leases.get(id);
        if (lease == null) {
            return false;
        }
        lease.until = now + lease.ttlMs;
        return true;
    }

    /** Renews all leases for their full time, as after an outage. */
    public void refreshLeases(long now) {
        leases.values().forEach(lease -> lease.until = now + lease.ttlMs);
    }

    /** Ends a lease and removes its keys; false if there is none. */
    public boolean end(long id) {
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

    /** Applies a transaction: 200, 409 or 400 as the protocol says. */
    public int commit(Transaction transaction) {
        String violation = limits.violationBy(transaction);
        if (violation != null) {
            oversized.add(violation);
            return 400;
        }
        for (Map.Entry<String, Long> guard : transaction.guards().entrySet()) {
            Entry entry = keys.get(guard.getKey());
            if ((entry == null ? 0 : entry.modRevision()) != guard.getValue()) {
                return 409;
            }
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
        return 200;
    }

    /** Keys with the prefix after {@code since}, in order. */
    public List<KeyChange> list(String prefix, String since, int limit) {
        List<KeyChange> page = new ArrayList<>();
        for (Map.Entry<String, Entry> entry : keys.tailMap(prefix, true).entrySet()) {
            if (!entry.getKey().startsWith(prefix) || page.size() == limit) {
                break;
            }
            if (since == null || entry.getKey().compareTo(since) > 0) {
                page.add(new KeyChange(
                        entry.getKey(),
                        entry.getValue().value(),
                        entry.getValue().modRevision()));
            }
        }
        return page;
    }

    /** Changes of keys with the prefix after a revision. */
    public List<KeyChange> changes(String prefix, long since) {
        int from = log.size();
        while (from > 0 && log.get(from - 1).modRevision() > since) {
            from--;
        }
        return log.subList(from, log.size()).stream()
                .filter(change -> change.key().startsWith(prefix))
                .toList();
    }
}

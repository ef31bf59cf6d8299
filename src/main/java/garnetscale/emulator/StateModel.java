package garnetscale.emulator;

import garnetscale.core.state.KeyChange;
import garnetscale.core.state.Transaction;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The state service by its published protocol, in memory, with the time handed in. */
public final class StateModel {

    /** A key's value, the revision of its last change, and the lease it hangs on (0: none). */
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

    public StateModel(StateLimits limits) {
        this.limits = limits;
    }

    /** What was wrong with the transactions that were refused for their size. */
    public List<String> oversized() {
        return oversized;
    }

    public long revision() {
        return revision;
    }

    public Entry get(String key) {
        return keys.get(key);
    }

    /** Ends leases whose time is over, and removes their keys. */
    public void expire(long now) {
        for (long id : List.copyOf(leases.keySet())) {
            if (leases.get(id).until < now) {
                end(id);
            }
        }
    }

    public long grant(long now, long ttlMs) {
        leases.put(++lastLease, new Lease(ttlMs, now));
        return lastLease;
    }

    public boolean touch(long now, long id) {
        Lease l = leases.get(id);
        if (l == null) {
            return false;
        }
        l.until = now + l.ttlMs;
        return true;
    }

    /** After an outage every lease has its full time again. */
    public void refreshLeases(long now) {
        leases.values().forEach(l -> l.until = now + l.ttlMs);
    }

    public boolean end(long id) {
        if (leases.remove(id) == null) {
            return false;
        }
        List<String> attached = keys.entrySet().stream()
                .filter(e -> e.getValue().lease() == id)
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

    /** 200, 409 or 400 as the protocol says. */
    public int commit(Transaction transaction) {
        String violation = limits.violationBy(transaction);
        if (violation != null) {
            oversized.add(violation);
            return 400;
        }
        for (Map.Entry<String, Long> g : transaction.guards().entrySet()) {
            Entry e = keys.get(g.getKey());
            if ((e == null ? 0 : e.modRevision()) != g.getValue()) {
                return 409;
            }
        }
        for (Transaction.Op op : transaction.ops()) {
            if (op.lease() != 0 && !leases.containsKey(op.lease())) {
                return 400;
            }
        }
        if (!transaction.ops().isEmpty()) {
            revision++;
        }
        for (Transaction.Op op : transaction.ops()) {
            if (op.value() == null) {
                remove(op.key());
            } else {
                keys.put(op.key(), new Entry(op.value(), revision, op.lease()));
                log.add(new KeyChange(op.key(), op.value(), revision));
            }
        }
        return 200;
    }

    /** Keys with the prefix after {@code since}, in order. */
    public List<KeyChange> list(String prefix, String since, int limit) {
        List<KeyChange> page = new ArrayList<>();
        for (Map.Entry<String, Entry> e : keys.tailMap(prefix, true).entrySet()) {
            if (!e.getKey().startsWith(prefix) || page.size() == limit) {
                break;
            }
            if (since == null || e.getKey().compareTo(since) > 0) {
                page.add(new KeyChange(
                        e.getKey(), e.getValue().value(), e.getValue().modRevision()));
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
                .filter(c -> c.key().startsWith(prefix))
                .toList();
    }
}

package garnetscale.core.state;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A compare-and-swap of several keys. If every guarded key was last changed at the given revision, all operations are applied
 * in one revision; otherwise none is. A transaction is built by one owner and isn't modified after it is sent.
 *
 * <p>A request may arrive again, long after it was carried out. Each transaction therefore guards a key that it changes, so that
 * its guards no longer hold once it is applied.
 */
public final class Transaction {

    /**
     * A put or a delete.
     *
     * @param value the stored value in the form of {@link Records} or {@link LogCodec}; null deletes the key
     * @param lease the id of the lease whose expiry deletes the key, 0 for none
     */
    public record Op(String key, Object value, long lease) {}

    private final Map<String, Long> guards = new LinkedHashMap<>();
    private final List<Op> ops = new ArrayList<>();

    /** Adds a guard: the key must have been last changed at this revision, or must not exist if the revision is 0. */
    public Transaction guard(String key, long modRevision) {
        guards.put(key, modRevision);
        return this;
    }

    /** Adds a put of a key without a lease. */
    public Transaction put(String key, Object value) {
        ops.add(new Op(key, value, 0));
        return this;
    }

    /** Adds a put of a key that is deleted when the lease expires. */
    public Transaction put(String key, Object value, long lease) {
        ops.add(new Op(key, value, lease));
        return this;
    }

    /** Adds a delete of a key. */
    public Transaction delete(String key) {
        ops.add(new Op(key, null, 0));
        return this;
    }

    /** Returns the required revision of each guarded key, in the order in which the guards were added. */
    public Map<String, Long> guards() {
        return guards;
    }

    /** Returns the operations, in the order in which they were added. */
    public List<Op> ops() {
        return ops;
    }

    @Override
    public String toString() {
        StringBuilder text = new StringBuilder("transaction if ").append(guards).append(" then");
        for (Op op : ops) {
            text.append(op.value() == null ? " -" : " +").append(op.key());
        }
        return text.toString();
    }
}

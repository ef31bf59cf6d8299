package garnetscale.core.state;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A compare-and-swap of several keys: if every guarded key was last changed at the given revision, all operations are applied
 * in one revision, else none. It is built by one owner and not altered once it is sent.
 */
public final class Transaction {

    /**
     * A put or a delete.
     *
     * @param value the stored value in the form of {@link Records} or {@link LogCodec}; null deletes the key
     * @param lease the lease at whose expiry the key is deleted, 0 for none
     */
    public record Op(String key, Object value, long lease) {}

    private final Map<String, Long> guards = new LinkedHashMap<>();
    private final List<Op> ops = new ArrayList<>();

    /** Makes it fail unless the key was last changed at this revision; 0 means that it must not exist. */
    public Transaction guard(String key, long modRevision) {
        guards.put(key, modRevision);
        return this;
    }

    /** Puts a key that belongs to no lease. */
    public Transaction put(String key, Object value) {
        ops.add(new Op(key, value, 0));
        return this;
    }

    /** Puts a key that is deleted when the lease expires. */
    public Transaction put(String key, Object value, long lease) {
        ops.add(new Op(key, value, lease));
        return this;
    }

    /** Deletes a key. */
    public Transaction delete(String key) {
        ops.add(new Op(key, null, 0));
        return this;
    }

    /** The revision that each guarded key must have, in the order in which they were added. */
    public Map<String, Long> guards() {
        return guards;
    }

    /** The operations, in the order in which they were added. */
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

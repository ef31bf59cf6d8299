package garnetscale.core.state;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A guarded change of the state service: all of it is applied, or nothing. */
public final class Transaction {

    /** One put (value not null) or delete; {@code lease} 0 attaches the key to no lease. */
    public record Op(String key, Object value, long lease) {}

    private final Map<String, Long> guards = new LinkedHashMap<>();
    private final List<Op> ops = new ArrayList<>();

    public Transaction guard(String key, long modRevision) {
        guards.put(key, modRevision);
        return this;
    }

    public Transaction put(String key, Object value) {
        ops.add(new Op(key, value, 0));
        return this;
    }

    public Transaction put(String key, Object value, long lease) {
        ops.add(new Op(key, value, lease));
        return this;
    }

    public Transaction delete(String key) {
        ops.add(new Op(key, null, 0));
        return this;
    }

    public Map<String, Long> guards() {
        return guards;
    }

    public List<Op> ops() {
        return ops;
    }

    @Override
    public String toString() {
        StringBuilder sb = new StringBuilder("txn if ").append(guards).append(" then");
        for (Op op : ops) {
            sb.append(op.value() == null ? " -" : " +").append(op.key());
        }
        return sb.toString();
    }
}

package garnetscale.wire;

import garnetscale.core.state.KeyChange;
import garnetscale.core.state.Transaction;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** What the state service is asked and answers. */
public final class StateCodec {

    /** Keys as of a revision: a page of a listing, or a watch's log. */
    public record Batch(List<KeyChange> changes, long revision, boolean more) {}

    private StateCodec() {}

    public static byte[] transaction(Transaction transaction) {
        return Cbor.write(tree(transaction));
    }

    /** A transaction as the protocol has it, before it is encoded. */
    public static Map<String, Object> tree(Transaction transaction) {
        List<Object> guards = new ArrayList<>();
        transaction.guards().forEach((key, modRevision) -> guards.add(Map.of("key", key, "stamp", modRevision)));
        List<Object> then = new ArrayList<>();
        for (Transaction.Op op : transaction.ops()) {
            Map<String, Object> m = new LinkedHashMap<>();
            if (op.value() == null) {
                m.put("remove", op.key());
            } else {
                m.put("set", op.key());
                m.put("v", op.value());
                if (op.lease() != 0) {
                    m.put("tenure", op.lease());
                }
            }
            then.add(m);
        }
        return then.isEmpty() ? Map.of("guards", guards) : Map.of("guards", guards, "then", then);
    }

    public static long revision(byte[] body) throws IOException {
        return new Fields(Cbor.readMap(body)).whole("ledger");
    }

    /** The keys that a transaction failed by. */
    public static Set<String> failed(byte[] body) throws IOException {
        Set<String> keys = new HashSet<>();
        new Fields(Cbor.readMap(body)).list("failed").forEach(k -> keys.add(String.valueOf(k)));
        if (keys.isEmpty()) {
            throw new IOException("a failed transaction without a failed key");
        }
        return keys;
    }

    public static byte[] lease(long ttlMs) {
        return Cbor.write(Map.of("ttl_ms", ttlMs));
    }

    public static long lease(byte[] body) throws IOException {
        return new Fields(Cbor.readMap(body)).whole("tenure");
    }

    /** The value of a single key. */
    public static Object value(byte[] body) throws IOException {
        return Cbor.readMap(body).get("v");
    }

    public static Batch listing(byte[] body) throws IOException {
        Fields f = new Fields(Cbor.readMap(body));
        List<KeyChange> list = new ArrayList<>();
        for (Object o : f.list("pairs")) {
            Map<?, ?> m = (Map<?, ?>) o;
            list.add(new KeyChange((String) m.get("key"), m.get("v"), new Fields(m).whole("stamp")));
        }
        return new Batch(list, f.whole("ledger"), f.flagOrFalse("has_next"));
    }

    public static Batch log(byte[] body) throws IOException {
        Fields f = new Fields(Cbor.readMap(body));
        List<KeyChange> list = new ArrayList<>();
        for (Object o : f.list("log")) {
            Map<?, ?> m = (Map<?, ?>) o;
            boolean set = m.containsKey("set");
            list.add(new KeyChange(
                    (String) m.get(set ? "set" : "remove"), set ? m.get("v") : null, new Fields(m).whole("stamp")));
        }
        return new Batch(list, f.whole("ledger"), false);
    }
}

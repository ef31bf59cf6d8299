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

/**
 * Requests to the state service and its answers. The words of the protocol end here: {@code stamp} is a key's modRevision,
 * {@code ledger} the revision of the store, {@code tenure} a lease, {@code /holds} the leases, {@code /multi} transactions.
 * An answer that can't be decoded raises an {@link IOException}.
 */
public final class StateCodec {

    /** Where transactions are sent. */
    public static final String TRANSACTION_PATH = "/multi";
    /** Where leases are asked for. */
    public static final String LEASES_PATH = "/holds";

    /**
     * Keys as of a revision: a page of a listing, or the changes that a watch brings.
     *
     * @param more whether there are further pages
     */
    public record Batch(List<KeyChange> changes, long revision, boolean more) {}

    private StateCodec() {}

    /** Where a lease is kept alive. */
    public static String keepAlivePath(long lease) {
        return LEASES_PATH + "/" + lease + "/touch";
    }

    /** Where a single key is read. */
    public static String keyPath(String key) {
        return "/keys/" + key;
    }

    /**
     * Where a page of the keys under a prefix is listed.
     *
     * @param since the last key of the page before, empty for the first page
     */
    public static String listingPath(String prefix, int limit, String since) {
        return "/keys?starts=" + prefix + "&limit=" + limit + (since.isEmpty() ? "" : "&since=" + since);
    }

    /** Where the changes of keys under a prefix after a revision are read; the service waits for one so long. */
    public static String watchPath(String prefix, long revision, long waitMs) {
        return "/follow?starts=" + prefix + "&since=" + revision + "&wait_ms=" + waitMs;
    }

    /** The body of a transaction. */
    public static byte[] transaction(Transaction transaction) {
        return Cbor.write(tree(transaction));
    }

    /** A transaction as the protocol has it, before it is encoded. */
    public static Map<String, Object> tree(Transaction transaction) {
        List<Object> guards = new ArrayList<>();
        transaction.guards().forEach((key, modRevision) -> guards.add(Map.of("key", key, "stamp", modRevision)));
        List<Object> then = new ArrayList<>();
        for (Transaction.Op op : transaction.ops()) {
            then.add(tree(op));
        }
        return then.isEmpty() ? Map.of("guards", guards) : Map.of("guards", guards, "then", then);
    }

    private static Map<String, Object> tree(Transaction.Op op) {
        Map<String, Object> fields = new LinkedHashMap<>();
        if (op.value() == null) {
            fields.put("remove", op.key());
        } else {
            fields.put("set", op.key());
            fields.put("v", op.value());
            if (op.lease() != 0) {
                fields.put("tenure", op.lease());
            }
        }
        return fields;
    }

    /** The revision that a transaction's answer is as of. */
    public static long revision(byte[] body) throws IOException {
        return new Fields(Cbor.readMap(body)).whole("ledger");
    }

    /** The keys whose guards made a transaction fail; at least one. */
    public static Set<String> failed(byte[] body) throws IOException {
        Set<String> keys = new HashSet<>();
        new Fields(Cbor.readMap(body)).list("failed").forEach(key -> keys.add(String.valueOf(key)));
        if (keys.isEmpty()) {
            throw new IOException("a failed transaction without a failed key");
        }
        return keys;
    }

    /** The body of a request for a lease of so many milliseconds. */
    public static byte[] lease(long ttlMs) {
        return Cbor.write(Map.of("ttl_ms", ttlMs));
    }

    /** The lease that was granted. */
    public static long lease(byte[] body) throws IOException {
        return new Fields(Cbor.readMap(body)).whole("tenure");
    }

    /** The value of a single key. */
    public static Object value(byte[] body) throws IOException {
        return Cbor.readMap(body).get("v");
    }

    /** A page of a listing. */
    public static Batch listing(byte[] body) throws IOException {
        Fields fields = new Fields(Cbor.readMap(body));
        List<KeyChange> listed = new ArrayList<>();
        for (Object element : fields.list("pairs")) {
            Map<?, ?> pair = (Map<?, ?>) element;
            listed.add(new KeyChange((String) pair.get("key"), pair.get("v"), new Fields(pair).whole("stamp")));
        }
        return new Batch(listed, fields.whole("ledger"), fields.flagOrFalse("has_next"));
    }

    /** The changes that a watch brings. */
    public static Batch log(byte[] body) throws IOException {
        Fields fields = new Fields(Cbor.readMap(body));
        List<KeyChange> changes = new ArrayList<>();
        for (Object element : fields.list("log")) {
            Map<?, ?> change = (Map<?, ?>) element;
            boolean isPut = change.containsKey("set");
            changes.add(new KeyChange(
                    (String) change.get(isPut ? "set" : "remove"),
                    isPut ? change.get("v") : null,
                    new Fields(change).whole("stamp")));
        }
        return new Batch(changes, fields.whole("ledger"), false);
    }
}

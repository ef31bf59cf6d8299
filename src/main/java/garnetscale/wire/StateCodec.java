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
 * Encodes requests to the state service and decodes its answers. Maps the protocol's names to the terms of the code:
 * {@code stamp} is a key's modRevision, {@code ledger} the state service's revision, {@code tenure} a lease, {@code /holds} the
 * leases and {@code /multi} transactions. Decoding an answer throws an {@link IOException} if a field is missing or malformed.
 */
public final class StateCodec {

    /** The path of transactions. */
    public static final String TRANSACTION_PATH = "/multi";
    /** The path of requests for a lease. */
    public static final String LEASES_PATH = "/holds";

    /**
     * One page of a listing, or the changes that a watch returned.
     *
     * @param revision the state service's revision as of this answer
     * @param more     whether further pages follow; always false for a watch
     */
    public record Batch(List<KeyChange> changes, long revision, boolean more) {}

    private StateCodec() {}

    /** Returns the path of requests that keep a lease alive. */
    public static String keepAlivePath(long lease) {
        return LEASES_PATH + "/" + lease + "/touch";
    }

    /** Returns the path of a single key. */
    public static String keyPath(String key) {
        return "/keys/" + key;
    }

    /**
     * Returns the path and query of one page of the keys with a prefix.
     *
     * @param limit the maximum number of keys in the page
     * @param since the last key of the previous page; empty for the first page
     */
    public static String listingPath(String prefix, int limit, String since) {
        return "/keys?starts=" + prefix + "&limit=" + limit + (since.isEmpty() ? "" : "&since=" + since);
    }

    /**
     * Returns the path and query of a watch on the keys with a prefix.
     *
     * @param revision the watch returns the changes after this revision
     * @param waitMs   how long the service waits for a change before it answers, in milliseconds
     */
    public static String watchPath(String prefix, long revision, long waitMs) {
        return "/follow?starts=" + prefix + "&since=" + revision + "&wait_ms=" + waitMs;
    }

    /** Encodes a transaction. */
    public static byte[] transaction(Transaction transaction) {
        return Cbor.write(tree(transaction));
    }

    /** Returns a transaction as the tree of maps and lists that {@link #transaction} encodes. */
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

    /** Decodes the state service's revision from the answer to a transaction. */
    public static long revision(byte[] body) throws IOException {
        return new Fields(Cbor.readMap(body)).integer("ledger");
    }

    /**
     * Decodes the answer to a failed transaction.
     *
     * @return the keys whose guards failed, at least one
     * @throws IOException if the answer is malformed or names no key
     */
    public static Set<String> failedGuards(byte[] body) throws IOException {
        Set<String> keys = new HashSet<>();
        new Fields(Cbor.readMap(body)).list("failed").forEach(key -> keys.add(String.valueOf(key)));
        if (keys.isEmpty()) {
            throw new IOException("answer to a failed transaction names no failed key");
        }
        return keys;
    }

    /** Encodes a request for a lease with a time to live of {@code ttlMs} milliseconds. */
    public static byte[] leaseRequest(long ttlMs) {
        return Cbor.write(Map.of("ttl_ms", ttlMs));
    }

    /** Decodes the lease from the answer to a request for a lease. */
    public static long grantedLease(byte[] body) throws IOException {
        return new Fields(Cbor.readMap(body)).integer("tenure");
    }

    /** Decodes the value from the answer to a read of a single key; null if the answer has none. */
    public static Object value(byte[] body) throws IOException {
        return Cbor.readMap(body).get("v");
    }

    /** Decodes one page of a listing. */
    public static Batch listing(byte[] body) throws IOException {
        Fields fields = new Fields(Cbor.readMap(body));
        List<KeyChange> listed = new ArrayList<>();
        for (Object element : fields.list("pairs")) {
            Fields pair = Fields.of(element, "element of pairs");
            listed.add(new KeyChange(pair.text("key"), pair.value("v"), pair.integer("stamp")));
        }
        return new Batch(listed, fields.integer("ledger"), fields.flagOrFalse("has_next"));
    }

    /** Decodes the changes that a watch returned. */
    public static Batch changes(byte[] body) throws IOException {
        Fields fields = new Fields(Cbor.readMap(body));
        List<KeyChange> changes = new ArrayList<>();
        for (Object element : fields.list("log")) {
            Fields change = Fields.of(element, "element of log");
            String put = change.textOrNull("set");
            changes.add(new KeyChange(
                    put != null ? put : change.text("remove"),
                    put != null ? change.value("v") : null,
                    change.integer("stamp")));
        }
        return new Batch(changes, fields.integer("ledger"), false);
    }
}

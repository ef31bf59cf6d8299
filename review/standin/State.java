import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The state service of PROTOCOL, "Controller nodes -> state service", in memory. Each controller has an address of its own, so
 * that the service can tell them apart.
 */
final class State {
    private record Entry(Object value, long stamp, long tenure) {}

    private record Change(String key, Object value, long stamp) {}

    /** A transaction that was carried out. */
    record Done(String node, byte[] body, Map<String, Object> request, long ledger) {}

    private final TreeMap<String, Entry> keys = new TreeMap<>();
    private final List<Change> log = new ArrayList<>();
    private final Map<Long, long[]> leases = new TreeMap<>();
    final List<Done> done = Collections.synchronizedList(new ArrayList<>());
    private long ledger;
    private long lastTenure = 6;
    /** Whether an answer to /follow names the newest change first, as the example of PROTOCOL does. */
    volatile boolean newestFirst;
    State() {
        Http.thread(() -> {
            while (true) {
                Thread.sleep(20);
                expire();
            }
        });
    }

    /** Listens for one controller and returns the address. */
    String listen(String node) throws IOException {
        return Http.serve((method, path, body) -> handle(node, method, path, body));
    }

    /** Empties the service, as before the first start of a deployment. */
    synchronized void clear() {
        keys.clear();
        log.clear();
        leases.clear();
        done.clear();
        ledger = 0;
    }

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }

    private synchronized void expire() {
        for (Long tenure : List.copyOf(leases.keySet())) {
            if (leases.get(tenure)[1] < now()) {
                end(tenure);
            }
        }
    }

    private void end(long tenure) {
        leases.remove(tenure);
        List<String> attached = new ArrayList<>();
        keys.forEach((key, entry) -> {
            if (entry.tenure() == tenure) {
                attached.add(key);
            }
        });
        if (!attached.isEmpty()) {
            ledger++;
            attached.forEach(key -> {
                keys.remove(key);
                log.add(new Change(key, null, ledger));
            });
            notifyAll();
        }
    }

    synchronized Object get(String key) {
        Entry entry = keys.get(key);
        return entry == null ? null : entry.value();
    }

    synchronized long stamp(String key) {
        Entry entry = keys.get(key);
        return entry == null ? 0 : entry.stamp();
    }

    synchronized Map<String, Object> all(String prefix) {
        Map<String, Object> found = new LinkedHashMap<>();
        keys.tailMap(prefix, true).forEach((key, entry) -> {
            if (key.startsWith(prefix)) {
                found.put(key, entry.value());
            }
        });
        return found;
    }

    private Http.Answer handle(String node, String method, String path, byte[] body) throws Exception {
        Map<String, String> query = query(path);
        String plain = path.contains("?") ? path.substring(0, path.indexOf('?')) : path;
        if (plain.equals("/follow")) {
            return follow(query);
        }
        if (plain.equals("/multi")) {
            Map<String, Object> request = Cbor.readMap(body);
            return multi(node, body, request);
        }
        synchronized (this) {
            if (plain.equals("/holds")) {
                long ttl = ((Number) Cbor.readMap(body).get("ttl_ms")).longValue();
                leases.put(++lastTenure, new long[] {ttl, now() + ttl});
                return Http.Answer.of(200, Cbor.map("tenure", lastTenure));
            }
            if (plain.startsWith("/holds/")) {
                long tenure = Long.parseLong(plain.split("/")[2]);
                long[] lease = leases.get(tenure);
                if (lease == null) {
                    return Http.Answer.of(404, Cbor.map());
                }
                if (method.equals("DELETE")) {
                    end(tenure);
                } else {
                    lease[1] = now() + lease[0];
                }
                return Http.Answer.of(200, Cbor.map());
            }
            if (plain.equals("/keys")) {
                return list(query);
            }
            Entry entry = keys.get(plain.substring("/keys/".length()));
            return entry == null
                    ? Http.Answer.of(404, Cbor.map("ledger", ledger))
                    : Http.Answer.of(
                            200,
                            Cbor.map("key", plain.substring(6), "v", entry.value(), "stamp", entry.stamp(),
                                    "tenure", entry.tenure() == 0 ? null : entry.tenure()));
        }
    }

    private static Map<String, String> query(String path) {
        Map<String, String> query = new LinkedHashMap<>();
        if (path.contains("?")) {
            for (String pair : path.substring(path.indexOf('?') + 1).split("&")) {
                query.put(pair.substring(0, pair.indexOf('=')), pair.substring(pair.indexOf('=') + 1));
            }
        }
        return query;
    }

    private Http.Answer list(Map<String, String> query) {
        int limit = Integer.parseInt(query.getOrDefault("limit", "1000"));
        String since = query.get("since");
        List<Object> pairs = new ArrayList<>();
        boolean more = false;
        for (Map.Entry<String, Entry> pair : keys.tailMap(query.get("starts"), true).entrySet()) {
            if (!pair.getKey().startsWith(query.get("starts")) || since != null && pair.getKey().compareTo(since) <= 0) {
                continue;
            }
            if (pairs.size() == limit) {
                more = true;
                break;
            }
            pairs.add(Cbor.map("key", pair.getKey(), "v", pair.getValue().value(), "stamp", pair.getValue().stamp()));
        }
        return Http.Answer.of(200, Cbor.map("pairs", pairs, "has_next", more, "ledger", ledger));
    }

    private synchronized Http.Answer follow(Map<String, String> query) throws InterruptedException {
        long since = Long.parseLong(query.get("since"));
        long end = now() + Long.parseLong(query.getOrDefault("wait_ms", "0"));
        while (true) {
            List<Object> changes = new ArrayList<>();
            for (int i = log.size() - 1; i >= 0 && log.get(i).stamp() > since; i--) {
                Change change = log.get(i);
                if (change.key().startsWith(query.get("starts"))) {
                    changes.add(
                            change.value() == null
                                    ? Cbor.map("remove", change.key(), "stamp", change.stamp())
                                    : Cbor.map("set", change.key(), "v", change.value(), "stamp", change.stamp()));
                }
            }
            if (!changes.isEmpty() || now() >= end) {
                if (!newestFirst) {
                    Collections.reverse(changes);
                }
                return Http.Answer.of(200, Cbor.map("ledger", ledger, "log", changes));
            }
            wait(Math.max(1, Math.min(100, end - now())));
        }
    }

    /** Carries out a transaction, as if a request had just arrived. */
    synchronized Http.Answer multi(String node, byte[] body, Map<String, Object> request) {
        Set<String> failed = new HashSet<>();
        for (Object item : (List<?>) request.getOrDefault("guards", List.of())) {
            Map<?, ?> guard = (Map<?, ?>) item;
            if (stamp((String) guard.get("key")) != ((Number) guard.get("stamp")).longValue()) {
                failed.add((String) guard.get("key"));
            }
        }
        List<?> then = request.get("then") instanceof List<?> list ? list : List.of();
        for (Object item : then) {
            if (((Map<?, ?>) item).get("tenure") instanceof Number tenure && !leases.containsKey(tenure.longValue())) {
                return Http.Answer.of(400, Cbor.map("error", "no such lease"));
            }
        }
        if (!failed.isEmpty()) {
            return Http.Answer.of(409, Cbor.map("failed", List.copyOf(failed), "ledger", ledger));
        }
        if (!then.isEmpty()) {
            ledger++;
            for (Object item : then) {
                Map<?, ?> op = (Map<?, ?>) item;
                if (op.get("set") instanceof String key) {
                    long tenure = op.get("tenure") instanceof Number number ? number.longValue() : 0;
                    keys.put(key, new Entry(op.get("v"), ledger, tenure));
                    log.add(new Change(key, op.get("v"), ledger));
                } else if (keys.remove(op.get("remove")) != null) {
                    log.add(new Change((String) op.get("remove"), null, ledger));
                }
            }
            done.add(new Done(node, body, request, ledger));
            notifyAll();
        }
        return Http.Answer.of(200, Cbor.map("ledger", ledger));
    }
}

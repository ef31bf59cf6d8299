import com.sun.net.httpserver.HttpExchange;
import garnetscale.wire.Cbor;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** The state service of PROTOCOL, in memory. Each controller has an address of its own, so that a case can treat it differently. */
public final class StateStore {
    /** A request of a controller. */
    public record Request(World.Node node, String method, String path, Map<?, ?> body) {}

    /** What a case does to requests and answers. */
    public interface Trouble {
        /** Returns whether the request gets 503 and isn't carried out. */
        default boolean refuses(Request request) {
            return false;
        }

        /** Returns by how many milliseconds the answer is late; called when the request has been carried out. */
        default long answerDelayMs(Request request, int status) {
            return 0;
        }

        /** Waits here for as long as the request is held on its way. */
        default void beforeArrival(Request request) throws InterruptedException {}
    }

    private record Entry(Object value, long stamp, long tenure) {}

    private record Change(String key, Object value, long stamp) {}

    private static final int KEPT_CHANGES = 10_000;

    private final World world;
    private final TreeMap<String, Entry> keys = new TreeMap<>();
    private final List<Change> changes = new ArrayList<>();
    private final Map<Long, long[]> leases = new LinkedHashMap<>();
    private long ledger;
    private long lastLease;
    public volatile Trouble trouble = new Trouble() {};

    StateStore(World world) {
        this.world = world;
        Thread expiry = new Thread(this::expireLeases);
        expiry.setDaemon(true);
        expiry.start();
    }

    private void expireLeases() {
        while (true) {
            synchronized (this) {
                long now = System.currentTimeMillis();
                for (long lease : List.copyOf(leases.keySet())) {
                    if (leases.get(lease)[1] < now) {
                        endLease(lease);
                    }
                }
            }
            try {
                Thread.sleep(40);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private boolean endLease(long lease) {
        if (leases.remove(lease) == null) {
            return false;
        }
        List<String> attached = keys.entrySet().stream()
                .filter(entry -> entry.getValue().tenure() == lease)
                .map(Map.Entry::getKey)
                .toList();
        if (!attached.isEmpty()) {
            ledger++;
            attached.forEach(this::remove);
            notifyAll();
        }
        return true;
    }

    private void remove(String key) {
        if (keys.remove(key) != null) {
            changes.add(new Change(key, null, ledger));
        }
    }

    /** Returns a key's value, for a case that has to know which controller leads. */
    public synchronized Map<?, ?> peek(String key) {
        Entry entry = keys.get(key);
        return entry == null ? null : (Map<?, ?>) entry.value();
    }

    public void handle(World.Node node, HttpExchange exchange) throws Exception {
        byte[] bytes = exchange.getRequestBody().readAllBytes();
        String path = exchange.getRequestURI().getPath();
        Request request =
                new Request(node, exchange.getRequestMethod(), path, bytes.length == 0 ? Map.of() : Cbor.readMap(bytes));
        trouble.beforeArrival(request);
        if (trouble.refuses(request)) {
            World.reply(exchange, 503, Map.of("error", "unavailable"));
            return;
        }
        Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
        Object[] answer;
        if (path.equals("/follow")) {
            answer = follow(query);
        } else {
            synchronized (this) {
                answer = answer(request, query);
            }
        }
        long delayMs = trouble.answerDelayMs(request, (Integer) answer[0]);
        if (delayMs > 0) {
            world.log("state service answers " + node.name + " late: " + request.method() + " " + path + " by " + delayMs
                    + " ms");
            Thread.sleep(delayMs);
        }
        World.reply(exchange, (Integer) answer[0], answer[1]);
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> query = new LinkedHashMap<>();
        for (String part : raw == null ? new String[0] : raw.split("&")) {
            int equals = part.indexOf('=');
            query.put(part.substring(0, equals), part.substring(equals + 1));
        }
        return query;
    }

    private Object[] answer(Request request, Map<String, String> query) {
        String path = request.path();
        if (path.startsWith("/keys/")) {
            String key = path.substring("/keys/".length());
            Entry entry = keys.get(key);
            return entry == null
                    ? new Object[] {404, Map.of("ledger", ledger)}
                    : new Object[] {200, Map.of("key", key, "v", entry.value(), "stamp", entry.stamp())};
        }
        if (path.equals("/keys")) {
            return list(query);
        }
        if (path.equals("/multi")) {
            return transact(request.body());
        }
        if (path.equals("/holds")) {
            long ttlMs = ((Number) request.body().get("ttl_ms")).longValue();
            leases.put(++lastLease, new long[] {ttlMs, System.currentTimeMillis() + ttlMs});
            return new Object[] {200, Map.of("tenure", lastLease)};
        }
        if (path.startsWith("/holds/")) {
            String[] parts = path.split("/");
            long lease = Long.parseLong(parts[2]);
            if (request.method().equals("DELETE")) {
                return new Object[] {endLease(lease) ? 200 : 404, Map.of()};
            }
            long[] held = leases.get(lease);
            if (held == null) {
                return new Object[] {404, Map.of()};
            }
            held[1] = System.currentTimeMillis() + held[0];
            return new Object[] {200, Map.of()};
        }
        return new Object[] {400, Map.of("error", "malformed")};
    }

    private Object[] list(Map<String, String> query) {
        int limit = Math.min(1000, Integer.parseInt(query.getOrDefault("limit", "1000")));
        String starts = query.getOrDefault("starts", "");
        String since = query.get("since");
        List<Object> pairs = new ArrayList<>();
        boolean more = false;
        for (Map.Entry<String, Entry> entry :
                (since == null ? keys.tailMap(starts, true) : keys.tailMap(since, false)).entrySet()) {
            if (!entry.getKey().startsWith(starts)) {
                break;
            }
            if (pairs.size() == limit) {
                more = true;
                break;
            }
            pairs.add(Map.of(
                    "key", entry.getKey(), "v", entry.getValue().value(), "stamp", entry.getValue().stamp()));
        }
        return new Object[] {200, Map.of("pairs", pairs, "has_next", more, "ledger", ledger)};
    }

    private Object[] transact(Map<?, ?> body) {
        List<String> failed = new ArrayList<>();
        for (Object item : body.get("guards") instanceof List<?> guards ? guards : List.of()) {
            Map<?, ?> guard = (Map<?, ?>) item;
            Entry entry = keys.get((String) guard.get("key"));
            if ((entry == null ? 0 : entry.stamp()) != ((Number) guard.get("stamp")).longValue()) {
                failed.add((String) guard.get("key"));
            }
        }
        List<?> then = body.get("then") instanceof List<?> list ? list : List.of();
        Set<Long> tenures = new LinkedHashSet<>();
        for (Object item : then) {
            if (((Map<?, ?>) item).get("tenure") instanceof Number tenure) {
                tenures.add(tenure.longValue());
            }
        }
        if (!leases.keySet().containsAll(tenures)) {
            return new Object[] {400, Map.of("error", "no such lease")};
        }
        if (!failed.isEmpty()) {
            return new Object[] {409, Map.of("failed", failed, "ledger", ledger)};
        }
        if (!then.isEmpty()) {
            ledger++;
        }
        for (Object item : then) {
            Map<?, ?> op = (Map<?, ?>) item;
            if (op.containsKey("set")) {
                String key = (String) op.get("set");
                long tenure = op.get("tenure") instanceof Number number ? number.longValue() : 0;
                keys.put(key, new Entry(op.get("v"), ledger, tenure));
                changes.add(new Change(key, op.get("v"), ledger));
            } else {
                remove((String) op.get("remove"));
            }
        }
        notifyAll();
        return new Object[] {200, Map.of("ledger", ledger)};
    }

    private synchronized Object[] follow(Map<String, String> query) throws InterruptedException {
        String starts = query.getOrDefault("starts", "");
        long since = Long.parseLong(query.getOrDefault("since", "0"));
        long until = System.currentTimeMillis() + Long.parseLong(query.getOrDefault("wait_ms", "0"));
        if (changes.size() > KEPT_CHANGES && changes.get(changes.size() - KEPT_CHANGES).stamp() > since) {
            return new Object[] {410, Map.of("ledger", ledger)};
        }
        while (true) {
            List<Object> log = new ArrayList<>();
            for (int i = changes.size() - 1; i >= 0 && changes.get(i).stamp() > since; i--) {
                Change change = changes.get(i);
                if (change.key().startsWith(starts)) {
                    log.add(
                            change.value() == null
                                    ? Map.of("remove", change.key(), "stamp", change.stamp())
                                    : Map.of("set", change.key(), "v", change.value(), "stamp", change.stamp()));
                }
            }
            long leftMs = until - System.currentTimeMillis();
            if (!log.isEmpty() || leftMs <= 0) {
                return new Object[] {200, Map.of("ledger", ledger, "log", log)};
            }
            wait(leftMs);
        }
    }
}

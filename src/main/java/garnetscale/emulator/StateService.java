package garnetscale.emulator;

import garnetscale.core.state.KeyChange;
import garnetscale.core.state.Transaction;
import garnetscale.net.Reply;
import garnetscale.wire.Cbor;
import garnetscale.wire.UserCodec;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/** Emulates the HTTP interface of the state service by its published protocol, on top of a {@link StateModel}. */
public final class StateService {

    /**
     * A pending request for the changes of keys with a prefix. Answered at the first change or at the deadline.
     *
     * @param since    the revision after which changes are reported
     * @param deadline the time in milliseconds at which the request is answered even without changes
     */
    private record Watch(String prefix, long since, long deadline, Consumer<Reply> answer) {}

    private static final String LEASES = "/holds/";
    private static final String RENEWAL = "/touch";
    private static final String KEYS = "/keys/";

    private final StateModel state;
    private final LongSupplier clock;
    private final long keptRevisions;
    private final List<Watch> watches = new ArrayList<>();

    /**
     * Creates a service.
     *
     * @param clock the time in milliseconds
     * @param keptRevisions the number of past revisions from which a watch may begin; an older start is answered with 410
     */
    public StateService(StateModel state, LongSupplier clock, long keptRevisions) {
        this.state = state;
        this.clock = clock;
        this.keptRevisions = keptRevisions;
    }

    /** Serves a request. A malformed request is answered with 400. */
    @SuppressWarnings("IllegalCatch") // Any cast in the decoding of a malformed body may fail; each failure is a 400.
    public void handle(String method, String uri, byte[] body, Consumer<Reply> answer) {
        QueryStringDecoder query = new QueryStringDecoder(uri);
        String path = query.path();
        try {
            if (path.equals("/follow")) {
                watch(query, answer);
            } else if (path.startsWith(LEASES)) {
                answer.accept(onLease(method, path.substring(LEASES.length())));
            } else if (path.startsWith(KEYS)) {
                answer.accept(read(path.substring(KEYS.length())));
            } else {
                answer.accept(
                        switch (path) {
                            case "/multi" -> commit(Cbor.readMap(body));
                            case "/holds" -> grant(Cbor.readMap(body));
                            case "/keys" -> list(query);
                            default -> Reply.of(404);
                        });
            }
        } catch (IOException | RuntimeException e) {
            answer.accept(Reply.of(400, UserCodec.error(String.valueOf(e.getMessage()))));
        }
        answerWatches();
    }

    private Reply grant(Map<?, ?> body) {
        long ttlMs = ((Number) body.get("ttl_ms")).longValue();
        return ok(Map.of("tenure", state.grantLease(clock.getAsLong(), ttlMs)));
    }

    private Reply onLease(String method, String path) {
        if (path.endsWith(RENEWAL)) {
            long lease = Long.parseLong(path.substring(0, path.length() - RENEWAL.length()));
            return state.renewLease(clock.getAsLong(), lease) ? ok(Map.of()) : Reply.of(404);
        }
        if (method.equals("DELETE")) {
            return state.revokeLease(Long.parseLong(path)) ? ok(Map.of()) : Reply.of(404);
        }
        return Reply.of(404);
    }

    private void watch(QueryStringDecoder query, Consumer<Reply> answer) {
        long since = Long.parseLong(param(query, "since", "0"));
        if (since < state.revision() - keptRevisions) {
            answer.accept(Reply.of(410));
            return;
        }
        long waitMs = Long.parseLong(param(query, "wait_ms", "0"));
        watches.add(new Watch(param(query, "starts", ""), since, clock.getAsLong() + waitMs, answer));
    }

    private Reply list(QueryStringDecoder query) {
        int limit = Integer.parseInt(param(query, "limit", "1000"));
        List<KeyChange> page = state.list(param(query, "starts", ""), param(query, "since", null), limit + 1);
        boolean more = page.size() > limit;
        List<Object> pairs = new ArrayList<>();
        for (KeyChange change : more ? page.subList(0, limit) : page) {
            pairs.add(Map.of("key", change.key(), "v", change.value(), "stamp", change.modRevision()));
        }
        return ok(Map.of("pairs", pairs, "has_next", more, "ledger", state.revision()));
    }

    private Reply read(String key) {
        StateModel.Entry entry = state.get(key);
        return entry == null
                ? Reply.of(404, Cbor.write(Map.of("ledger", state.revision())))
                : ok(Map.of("key", key, "v", entry.value(), "stamp", entry.modRevision()));
    }

    private static String param(QueryStringDecoder query, String name, String defaultValue) {
        List<String> values = query.parameters().get(name);
        return values == null ? defaultValue : values.get(0);
    }

    private static Reply ok(Map<String, ?> body) {
        return Reply.of(200, Cbor.write(body));
    }

    private Reply commit(Map<?, ?> body) {
        Transaction transaction = new Transaction();
        for (Object item : (List<?>) body.get("guards")) {
            Map<?, ?> guard = (Map<?, ?>) item;
            transaction.guard((String) guard.get("key"), ((Number) guard.get("stamp")).longValue());
        }
        List<?> then = body.get("then") instanceof List<?> list ? list : List.of();
        for (Object item : then) {
            Map<?, ?> op = (Map<?, ?>) item;
            if (op.containsKey("set")) {
                long lease = op.get("tenure") instanceof Number number ? number.longValue() : 0;
                transaction.put((String) op.get("set"), op.get("v"), lease);
            } else {
                transaction.delete((String) op.get("remove"));
            }
        }
        List<String> failed = transaction.guards().entrySet().stream()
                .filter(guard -> modRevision(guard.getKey()) != guard.getValue())
                .map(Map.Entry::getKey)
                .toList();
        int status = state.commit(transaction);
        return Reply.of(
                status,
                Cbor.write(
                        status == 409
                                ? Map.of("failed", failed, "ledger", state.revision())
                                : Map.of("ledger", state.revision())));
    }

    private long modRevision(String key) {
        StateModel.Entry entry = state.get(key);
        return entry == null ? 0 : entry.modRevision();
    }

    /** Answers the watches that have changes to report, and those whose deadline has passed. */
    public void answerWatches() {
        for (Watch watch : List.copyOf(watches)) {
            List<KeyChange> changes = state.changes(watch.prefix(), watch.since());
            if (changes.isEmpty() && clock.getAsLong() < watch.deadline()) {
                continue;
            }
            watches.remove(watch);
            List<Object> log = new ArrayList<>();
            for (KeyChange change : changes) {
                log.add(
                        change.value() == null
                                ? Map.of("remove", change.key(), "stamp", change.modRevision())
                                : Map.of("set", change.key(), "v", change.value(), "stamp", change.modRevision()));
            }
            watch.answer().accept(ok(Map.of("ledger", state.revision(), "log", log)));
        }
    }
}

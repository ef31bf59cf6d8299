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

/** The state service's requests by its published protocol, on a {@link StateModel}; without limits or failures of its own. */
public final class StateService {

    private record Waiting(String prefix, long since, long until, Consumer<Reply> answer) {}

    private final StateModel state;
    private final LongSupplier clock;
    private final long kept;
    private final List<Waiting> watches = new ArrayList<>();

    /** {@code kept} is how many revisions back a watch may begin. */
    public StateService(StateModel state, LongSupplier clock, long kept) {
        this.state = state;
        this.clock = clock;
        this.kept = kept;
    }

    public void handle(String method, String uri, byte[] body, Consumer<Reply> answer) {
        QueryStringDecoder q = new QueryStringDecoder(uri);
        String path = q.path();
        try {
            if (path.equals("/multi")) {
                answer.accept(commit(Cbor.readMap(body)));
            } else if (path.equals("/holds")) {
                long ttl = ((Number) Cbor.readMap(body).get("ttl_ms")).longValue();
                answer.accept(ok(Map.of("tenure", state.grant(clock.getAsLong(), ttl))));
            } else if (path.startsWith("/holds/") && path.endsWith("/touch")) {
                long id = Long.parseLong(path.substring(7, path.length() - 6));
                answer.accept(state.touch(clock.getAsLong(), id) ? ok(Map.of()) : Reply.of(404));
            } else if (path.startsWith("/holds/") && method.equals("DELETE")) {
                answer.accept(state.end(Long.parseLong(path.substring(7))) ? ok(Map.of()) : Reply.of(404));
            } else if (path.equals("/follow") && Long.parseLong(param(q, "since", "0")) < state.revision() - kept) {
                answer.accept(Reply.of(410));
            } else if (path.equals("/follow")) {
                long wait = Long.parseLong(param(q, "wait_ms", "0"));
                watches.add(new Waiting(
                        param(q, "starts", ""),
                        Long.parseLong(param(q, "since", "0")),
                        clock.getAsLong() + wait,
                        answer));
            } else if (path.equals("/keys")) {
                int limit = Integer.parseInt(param(q, "limit", "1000"));
                List<KeyChange> page = state.list(param(q, "starts", ""), param(q, "since", null), limit + 1);
                boolean more = page.size() > limit;
                List<Object> pairs = new ArrayList<>();
                for (KeyChange c : more ? page.subList(0, limit) : page) {
                    pairs.add(Map.of("key", c.key(), "v", c.value(), "stamp", c.modRevision()));
                }
                answer.accept(ok(Map.of("pairs", pairs, "has_next", more, "ledger", state.revision())));
            } else if (path.startsWith("/keys/")) {
                StateModel.Entry e = state.get(path.substring(6));
                answer.accept(
                        e == null
                                ? Reply.of(404, Cbor.write(Map.of("ledger", state.revision())))
                                : ok(Map.of("key", path.substring(6), "v", e.value(), "stamp", e.modRevision())));
            } else {
                answer.accept(Reply.of(404));
            }
        } catch (IOException | RuntimeException e) {
            answer.accept(Reply.of(400, UserCodec.error(String.valueOf(e.getMessage()))));
        }
        wake();
    }

    private static String param(QueryStringDecoder q, String name, String other) {
        List<String> v = q.parameters().get(name);
        return v == null ? other : v.get(0);
    }

    private static Reply ok(Map<String, ?> body) {
        return Reply.of(200, Cbor.write(body));
    }

    private Reply commit(Map<?, ?> body) {
        Transaction transaction = new Transaction();
        for (Object o : (List<?>) body.get("guards")) {
            Map<?, ?> g = (Map<?, ?>) o;
            transaction.guard((String) g.get("key"), ((Number) g.get("stamp")).longValue());
        }
        List<?> then = body.get("then") instanceof List<?> l ? l : List.of();
        for (Object o : then) {
            Map<?, ?> op = (Map<?, ?>) o;
            if (op.containsKey("set")) {
                long lease = op.get("tenure") instanceof Number n ? n.longValue() : 0;
                transaction.put((String) op.get("set"), op.get("v"), lease);
            } else {
                transaction.delete((String) op.get("remove"));
            }
        }
        List<String> failed = transaction.guards().entrySet().stream()
                .filter(g -> modRevision(g.getKey()) != g.getValue())
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
        StateModel.Entry e = state.get(key);
        return e == null ? 0 : e.modRevision();
    }

    /** Answers the watches that something has changed for, and those whose time is over. */
    public void wake() {
        for (Waiting w : List.copyOf(watches)) {
            List<KeyChange> changes = state.changes(w.prefix(), w.since());
            if (changes.isEmpty() && clock.getAsLong() < w.until()) {
                continue;
            }
            watches.remove(w);
            List<Object> log = new ArrayList<>();
            for (KeyChange c : changes) {
                log.add(
                        c.value() == null
                                ? Map.of("remove", c.key(), "stamp", c.modRevision())
                                : Map.of("set", c.key(), "v", c.value(), "stamp", c.modRevision()));
            }
            w.answer().accept(ok(Map.of("ledger", state.revision(), "log", log)));
        }
    }
}

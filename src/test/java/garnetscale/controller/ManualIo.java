package garnetscale.controller;

import garnetscale.net.HttpResult;
import io.netty.handler.codec.http.HttpMethod;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** Keeps the requests of a {@link StateLink} until the test answers them, and its timers until the test runs them. */
final class ManualIo implements StateLink.Io {

    private static final long LONG_ENOUGH_MS = 10_000;

    /** A request that isn't answered yet. */
    record Call(String path, byte[] body, Consumer<HttpResult> done) {}

    final List<Call> calls = new ArrayList<>();
    long now = 1_000_000;
    private List<Runnable> timers = new ArrayList<>();

    @Override
    public long now() {
        return now;
    }

    @Override
    public void after(long ms, Runnable task) {
        timers.add(task);
    }

    @Override
    public void call(HttpMethod method, String path, byte[] body, long timeoutMs, Consumer<HttpResult> done) {
        calls.add(new Call(path, body, done));
    }

    /** Removes and returns the first pending request whose path begins so; there must be one. */
    Call take(String start) {
        Call first = calls.stream()
                .filter(call -> call.path().startsWith(start))
                .findFirst()
                .orElseThrow(() -> new AssertionError("no request for " + start + ": " + calls));
        calls.remove(first);
        return first;
    }

    /** Whether a request whose path begins so is pending. */
    boolean isAsked(String start) {
        return calls.stream().anyMatch(call -> call.path().startsWith(start));
    }

    /** Has every timer that was set fire once. */
    void runTimers() {
        now += LONG_ENOUGH_MS;
        List<Runnable> due = timers;
        timers = new ArrayList<>();
        due.forEach(Runnable::run);
    }
}

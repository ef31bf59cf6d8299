package garnetscale.controller;

import garnetscale.net.HttpResult;
import io.netty.handler.codec.http.HttpMethod;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** Holds the requests of a {@link StateLink} until the test answers them, and its timers until the test runs them. */
final class ManualIo implements StateLink.Io {

    /** Longer than every timer. */
    private static final long TIMERS_STEP_MS = 10_000;

    /** A request that hasn't been answered yet. */
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

    /** Removes and returns the first pending request whose path has a prefix; fails if there is none. */
    Call take(String prefix) {
        Call first = calls.stream()
                .filter(call -> call.path().startsWith(prefix))
                .findFirst()
                .orElseThrow(() -> new AssertionError("no request for " + prefix + ": " + calls));
        calls.remove(first);
        return first;
    }

    /** Returns whether a request is pending whose path has a prefix. */
    boolean isPending(String prefix) {
        return calls.stream().anyMatch(call -> call.path().startsWith(prefix));
    }

    /** Advances the clock past all timers and runs each of them once; timers that they set wait for the next call. */
    void runTimers() {
        now += TIMERS_STEP_MS;
        List<Runnable> due = timers;
        timers = new ArrayList<>();
        due.forEach(Runnable::run);
    }
}

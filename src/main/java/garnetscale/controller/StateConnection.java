package garnetscale.controller;

import garnetscale.net.HttpResult;
import garnetscale.net.TokenBucket;
import io.netty.handler.codec.http.HttpMethod;
import java.util.Map;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Sends requests to the state service, runs timers, and tracks whether the service is failing. */
final class StateConnection {

    /** Timeout of a request that doesn't wait for changes. */
    static final long TIMEOUT_MS = 2000;

    private static final Logger LOG = LoggerFactory.getLogger(StateConnection.class);
    /** How long requests may fail before the service counts as failing. */
    private static final long TOLERATED_FAILURE_MS = 300;

    /** Value of {@link #failingSince} while requests are answered. */
    private static final long NOT_FAILING = -1;

    private final StateLink.Io io;
    private final RandomGenerator random;
    private long failingSince = NOT_FAILING;
    private boolean stopped;

    StateConnection(StateLink.Io io, RandomGenerator random) {
        this.io = io;
        this.random = random;
    }

    /** Stops logging failures: the process is ending, and closes its connections itself. */
    void stop() {
        stopped = true;
    }

    long now() {
        return io.now();
    }

    /** Sends a request and calls back exactly once; {@code body} is null for a request without one. */
    void call(HttpMethod method, String path, byte[] body, long timeoutMs, Consumer<HttpResult> done) {
        io.call(method, path, body, timeoutMs, done);
    }

    void after(long ms, Runnable task) {
        io.after(ms, task);
    }

    /** Runs a task after a random delay of half to all of {@code ms}, so that controllers don't retry in step. */
    void retryAfter(long ms, Runnable task) {
        io.after(ms / 2 + random.nextLong(ms / 2 + 1), task);
    }

    void every(long ms, Runnable task) {
        io.after(ms, () -> {
            task.run();
            every(ms, task);
        });
    }

    /** Returns what a token bucket allows now and its rate per second, in requests or write operations, for operators. */
    Map<String, Object> describe(TokenBucket bucket) {
        return Map.of("available", bucket.available(now()), "per_s", bucket.ratePerS());
    }

    /** Returns whether requests have been failing for longer than is tolerated. */
    boolean failing() {
        return failingSince >= 0 && now() - failingSince > TOLERATED_FAILURE_MS;
    }

    /** Records that a request was answered. */
    void onAnswered() {
        if (failing()) {
            LOG.info("state service answers again, failed_ms={}", now() - failingSince);
        }
        failingSince = NOT_FAILING;
    }

    /**
     * Records that a request was refused or not answered.
     *
     * @param request the kind of request, for the log
     */
    void onFailed(String request, HttpResult result) {
        if (failingSince < 0 && !stopped) {
            failingSince = now();
            LOG.info(
                    "state service fails, request={} outcome={} status={}", request, result.outcome(), result.status());
        }
    }
}

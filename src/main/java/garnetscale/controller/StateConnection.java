package garnetscale.controller;

import garnetscale.net.HttpResult;
import garnetscale.net.TokenBucket;
import io.netty.handler.codec.http.HttpMethod;
import java.util.Map;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Requests to the state service, time, and whether the service has answered lately. */
final class StateConnection {

    /** How long a request may take unless it waits for changes. */
    static final long TIMEOUT_MS = 2000;

    private static final Logger LOG = LoggerFactory.getLogger(StateConnection.class);
    /** For so long requests may fail before the service counts as failing. */
    private static final long TOLERATED_FAILURE_MS = 300;

    private static final long ANSWERING = -1;

    private final StateLink.Io io;
    private final RandomGenerator random;
    private long failingSince = ANSWERING;
    private boolean stopped;

    StateConnection(StateLink.Io io, RandomGenerator random) {
        this.io = io;
        this.random = random;
    }

    /** The process ends: connections that fail from now on are its own doing, and not worth a log line. */
    void stop() {
        stopped = true;
    }

    long now() {
        return io.now();
    }

    /** Sends a request; {@code body} may be null. Calls back once. */
    void call(HttpMethod method, String path, byte[] body, long timeoutMs, Consumer<HttpResult> done) {
        io.call(method, path, body, timeoutMs, done);
    }

    void after(long ms, Runnable run) {
        io.after(ms, run);
    }

    /** Runs it again after half to all of the time, so that controllers don't retry in step. */
    void retryAfter(long ms, Runnable run) {
        io.after(ms / 2 + random.nextLong(ms / 2 + 1), run);
    }

    void every(long ms, Runnable run) {
        io.after(ms, () -> {
            run.run();
            every(ms, run);
        });
    }

    /** What may be sent now of a part of the limits, and at which rate, for operators. */
    Map<String, Object> describe(TokenBucket budget) {
        return Map.of("available", budget.available(now()), "per_s", budget.ratePerS());
    }

    /** Whether requests have been failing for some time. */
    boolean failing() {
        return failingSince >= 0 && now() - failingSince > TOLERATED_FAILURE_MS;
    }

    /** A request was answered. */
    void onAnswered() {
        if (failing()) {
            LOG.info("state service answers again, failed_ms={}", now() - failingSince);
        }
        failingSince = ANSWERING;
    }

    /**
     * A request was refused or not answered.
     *
     * @param request what was asked, for the log
     */
    void onFailed(String request, HttpResult result) {
        if (failingSince < 0 && !stopped) {
            failingSince = now();
            LOG.info(
                    "state service fails, request={} outcome={} status={}", request, result.outcome(), result.status());
        }
    }
}

package garnetscale.controller;

import garnetscale.core.state.Transaction;
import garnetscale.net.HttpResult;
import garnetscale.net.HttpStatus;
import garnetscale.net.TokenBucket;
import garnetscale.wire.StateCodec;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/** Reads the keys of terminal jobs, which aren't replicated, within this controller's share of the limit on requests. */
final class StateReads {

    private static final long READ_TIMEOUT_MS = 1500;

    private final StateConnection connection;
    private final TokenBucket bucket;

    /**
     * Creates a reader with a rate limit.
     *
     * @param perS limit on reads, in requests per second
     */
    StateReads(StateConnection connection, double perS) {
        this.connection = connection;
        this.bucket = new TokenBucket(perS, perS, connection.now());
    }

    /** Returns how many reads may be sent now and at which rate, for operators. */
    Map<String, Object> rateLimit() {
        return connection.describe(bucket);
    }

    /** Runs a task as soon as the rate limit allows a read. */
    void whenReadAllowed(Runnable task) {
        long waitMs = bucket.waitMs(connection.now(), 1);
        if (waitMs > 0) {
            connection.after(waitMs, () -> whenReadAllowed(task));
        } else {
            task.run();
        }
    }

    /** Finds existing keys; see {@link TerminalJobIndex.Store#findExisting}. */
    void findExisting(List<String> keys, Consumer<Set<String>> done) {
        bucket.takeUnconditionally(connection.now(), 1);
        Transaction absent = new Transaction();
        keys.forEach(key -> absent.guard(key, 0));
        connection.call(
                HttpMethod.POST,
                StateCodec.TRANSACTION_PATH,
                StateCodec.transaction(absent),
                READ_TIMEOUT_MS,
                result -> onExistenceAnswered(result, done));
    }

    private static void onExistenceAnswered(HttpResult result, Consumer<Set<String>> done) {
        try {
            done.accept(
                    result.is(HttpStatus.OK)
                            ? Set.of()
                            : result.is(HttpStatus.CONFLICT) ? StateCodec.failedGuards(result.body()) : null);
        } catch (IOException e) {
            done.accept(null);
        }
    }

    /** Reads a key; see {@link TerminalJobIndex.Store#get}. */
    void get(String key, BiConsumer<Boolean, Object> done) {
        bucket.takeUnconditionally(connection.now(), 1);
        connection.call(
                HttpMethod.GET, StateCodec.keyPath(key), null, READ_TIMEOUT_MS, result -> onValue(result, done));
    }

    private static void onValue(HttpResult result, BiConsumer<Boolean, Object> done) {
        try {
            if (result.is(HttpStatus.OK)) {
                done.accept(true, StateCodec.value(result.body()));
            } else {
                done.accept(result.is(HttpStatus.NOT_FOUND), null);
            }
        } catch (IOException e) {
            done.accept(false, null);
        }
    }
}

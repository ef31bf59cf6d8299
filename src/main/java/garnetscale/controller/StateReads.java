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

/** Reads of keys that aren't replicated, which are those of terminal jobs, within this controller's part of the limit. */
final class StateReads {

    private static final long READ_TIMEOUT_MS = 1500;

    private final StateConnection connection;
    private final TokenBucket budget;

    /**
     * Reads within a rate.
     *
     * @param perS how many requests may be sent in a second
     */
    StateReads(StateConnection connection, double perS) {
        this.connection = connection;
        this.budget = new TokenBucket(perS, perS, connection.now());
    }

    /** What may be sent now, for operators. */
    Map<String, Object> budget() {
        return connection.describe(budget);
    }

    /** Runs it as soon as a read may be sent. */
    void whenReadable(Runnable run) {
        long waitMs = budget.waitMs(connection.now(), 1);
        if (waitMs > 0) {
            connection.after(waitMs, () -> whenReadable(run));
        } else {
            run.run();
        }
    }

    /** Calls back with those of the keys that exist, or with null when it isn't known. */
    void present(List<String> keys, Consumer<Set<String>> done) {
        budget.force(connection.now(), 1);
        Transaction absent = new Transaction();
        keys.forEach(key -> absent.guard(key, 0));
        connection.call(
                HttpMethod.POST,
                StateCodec.TRANSACTION_PATH,
                StateCodec.transaction(absent),
                READ_TIMEOUT_MS,
                result -> onPresence(result, done));
    }

    private static void onPresence(HttpResult result, Consumer<Set<String>> done) {
        try {
            done.accept(
                    result.is(HttpStatus.OK)
                            ? Set.of()
                            : result.is(HttpStatus.CONFLICT) ? StateCodec.failedGuards(result.body()) : null);
        } catch (IOException e) {
            done.accept(null);
        }
    }

    /** Calls back with whether the answer is known, and with the stored value, null when the key doesn't exist. */
    void get(String key, BiConsumer<Boolean, Object> done) {
        budget.force(connection.now(), 1);
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

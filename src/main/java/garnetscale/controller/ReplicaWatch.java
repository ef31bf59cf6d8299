package garnetscale.controller;

import garnetscale.core.state.Keys;
import garnetscale.core.state.StateReplica;
import garnetscale.net.HttpResult;
import garnetscale.net.HttpStatus;
import garnetscale.net.TokenBucket;
import garnetscale.wire.StateCodec;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Advances the replica by what has changed since its revision: by a watch that is always open, and by syncs, which bring it up
 * to date at once. Both are within this controller's part of the limit on watches, and pause while a listing is running.
 */
final class ReplicaWatch {

    private static final Logger LOG = LoggerFactory.getLogger(ReplicaWatch.class);
    /** How long the service holds a watch open when nothing changes. */
    private static final long WATCH_MS = 5000;

    private static final long WATCH_TIMEOUT_MS = WATCH_MS + StateConnection.TIMEOUT_MS;
    private static final long WATCH_RETRY_MS = 300;
    private static final long SYNC_TIMEOUT_MS = 1500;
    /** The service no longer has the changes since the revision that was asked for. */
    private static final int GONE = 410;

    private final StateConnection connection;
    private final StateReplica replica;
    private final ReplicaListing listing;
    private final ReplicaListener listener;
    private final TokenBucket budget;
    private List<Consumer<Boolean>> waitingForSync = new ArrayList<>();
    private boolean syncing;
    private boolean syncScheduled;

    /**
     * A watch that isn't open yet.
     *
     * @param perS how many watches and syncs may be sent in a second
     */
    ReplicaWatch(
            StateConnection connection,
            StateReplica replica,
            ReplicaListing listing,
            ReplicaListener listener,
            double perS) {
        this.connection = connection;
        this.replica = replica;
        this.listing = listing;
        this.listener = listener;
        this.budget = new TokenBucket(perS, perS, connection.now());
    }

    /** What may be sent now, for operators. */
    Map<String, Object> budget() {
        return connection.describe(budget);
    }

    /** Opens the watch, and goes on until a listing is running; to be called again after each listing. */
    void watch() {
        if (listing.isRunning()) {
            return;
        }
        long waitMs = budget.waitMs(connection.now(), 1);
        if (waitMs > 0) {
            connection.after(waitMs, this::watch);
            return;
        }
        budget.force(connection.now(), 1);
        follow(WATCH_MS, WATCH_TIMEOUT_MS, complete -> {
            if (!listing.isRunning()) {
                if (complete) {
                    watch();
                } else {
                    connection.retryAfter(WATCH_RETRY_MS, this::watch);
                }
            }
        });
    }

    /**
     * Calls back once the replica is as new as a request sent after this call; with false when it can't be, at once if the
     * service is failing.
     */
    void sync(Consumer<Boolean> done) {
        if (connection.failing() && syncing) {
            done.accept(false);
            return;
        }
        waitingForSync.add(done);
        syncWaiting();
    }

    /** Sends one request for all that wait; those that come meanwhile wait for the next one. */
    void syncWaiting() {
        if (syncing || syncScheduled || waitingForSync.isEmpty()) {
            return;
        }
        if (listing.isRunning()) {
            if (connection.failing()) {
                takeWaiting().forEach(done -> done.accept(false));
            }
            return;
        }
        long waitMs = budget.waitMs(connection.now(), 1);
        if (waitMs > 0) {
            syncScheduled = true;
            connection.after(waitMs, () -> {
                syncScheduled = false;
                syncWaiting();
            });
            return;
        }
        budget.force(connection.now(), 1);
        syncing = true;
        List<Consumer<Boolean>> batch = takeWaiting();
        follow(0, SYNC_TIMEOUT_MS, complete -> {
            syncing = false;
            batch.forEach(done -> done.accept(complete));
            syncWaiting();
        });
    }

    private List<Consumer<Boolean>> takeWaiting() {
        List<Consumer<Boolean>> batch = waitingForSync;
        waitingForSync = new ArrayList<>();
        return batch;
    }

    /**
     * Asks for the changes since the replica's revision and applies them.
     *
     * @param waitMs how long the service waits for a change
     * @param done   gets whether the replica is complete as of this request
     */
    private void follow(long waitMs, long timeoutMs, Consumer<Boolean> done) {
        long sentAt = connection.now();
        String path = StateCodec.watchPath(Keys.REPLICATED, replica.revision(), waitMs);
        connection.call(HttpMethod.GET, path, null, timeoutMs, result -> {
            // Too old, or more than this process takes at once: a listing comes in pages.
            if (result.is(GONE) || result.outcome() == HttpResult.Outcome.TOO_LONG) {
                if (!listing.isRunning()) {
                    listing.start();
                }
                done.accept(false);
                return;
            }
            if (!result.is(HttpStatus.OK)) {
                connection.onFailed("watch", result);
                done.accept(false);
                return;
            }
            try {
                onChanges(StateCodec.changes(result.body()), sentAt);
                done.accept(!listing.isRunning());
            } catch (IOException e) {
                done.accept(false);
            }
        });
    }

    /** A replica that is being loaded isn't complete as of an answer, nor is it changed by one. */
    private void onChanges(StateCodec.Batch batch, long sentAt) {
        connection.onAnswered();
        boolean changed = !listing.isRunning()
                && replica.advance(batch.changes(), batch.revision())
                && !batch.changes().isEmpty();
        if (!listing.isRunning() && replica.unreadable() != null) {
            listing.waitUntilReadable();
        }
        if (!listing.isRunning() && replica.isInconsistent()) {
            LOG.info("watch has lost entries and the replica is listed again, revision={}", replica.revision());
            listing.start();
        }
        if (!listing.isRunning()) {
            listener.onConfirmed(sentAt);
            listener.onAdvanced(changed);
        }
    }
}

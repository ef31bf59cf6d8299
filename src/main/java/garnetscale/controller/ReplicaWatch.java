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
 * Advances the replica by the changes since its revision. A watch is always open; a sync brings the replica up to date at once.
 * Both stay within this controller's share of the limit on watches, and pause while a listing is running.
 */
final class ReplicaWatch {

    private static final Logger LOG = LoggerFactory.getLogger(ReplicaWatch.class);
    /** How long the service holds a watch open when nothing changes. */
    private static final long WATCH_MS = 5000;

    private static final long WATCH_TIMEOUT_MS = WATCH_MS + StateConnection.TIMEOUT_MS;
    private static final long WATCH_RETRY_MS = 300;
    private static final long SYNC_TIMEOUT_MS = 1500;
    /** The service's status when it no longer has the changes since the requested revision. */
    private static final int GONE = 410;

    private final StateConnection connection;
    private final StateReplica replica;
    private final ReplicaListing listing;
    private final ReplicaListener listener;
    private final TokenBucket bucket;
    /** Number of the series of watches that is reopened; each listing begins another. */
    private int series;

    private List<Consumer<Boolean>> pendingSyncs = new ArrayList<>();
    private boolean syncing;
    private boolean syncScheduled;

    /**
     * Creates a watch that isn't open yet.
     *
     * @param perS limit on watches and syncs together, in requests per second
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
        this.bucket = new TokenBucket(perS, perS, connection.now());
    }

    /** Returns how many requests may be sent now and at which rate, for operators. */
    Map<String, Object> rateLimit() {
        return connection.describe(bucket);
    }

    /**
     * Opens the watch and reopens it after each answer, until a listing starts; to be called again after each listing. A watch that
     * is still open from before the listing isn't reopened.
     */
    void watch() {
        series++;
        open(series);
    }

    /** Opens the watch, unless a listing is running or a later series has begun. */
    private void open(int openedSeries) {
        if (listing.isRunning() || openedSeries != series) {
            return;
        }
        long waitMs = bucket.waitMs(connection.now(), 1);
        if (waitMs > 0) {
            connection.after(waitMs, () -> open(openedSeries));
            return;
        }
        bucket.takeUnconditionally(connection.now(), 1);
        fetchChanges(WATCH_MS, WATCH_TIMEOUT_MS, complete -> {
            if (complete) {
                open(openedSeries);
            } else if (!listing.isRunning()) {
                connection.retryAfter(WATCH_RETRY_MS, () -> open(openedSeries));
            }
        });
    }

    /**
     * Brings the replica up to date by a request sent after this call.
     *
     * @param done receives true once the replica is as new as that request, or false if it can't be; false at once if the
     *             service is failing and a sync is already in flight
     */
    void sync(Consumer<Boolean> done) {
        if (connection.failing() && syncing) {
            done.accept(false);
            return;
        }
        pendingSyncs.add(done);
        sendPendingSyncs();
    }

    /** Sends one request for all pending syncs; syncs requested while it is in flight wait for the next request. */
    void sendPendingSyncs() {
        if (syncing || syncScheduled || pendingSyncs.isEmpty()) {
            return;
        }
        if (listing.isRunning()) {
            if (connection.failing()) {
                takePendingSyncs().forEach(done -> done.accept(false));
            }
            return;
        }
        long waitMs = bucket.waitMs(connection.now(), 1);
        if (waitMs > 0) {
            syncScheduled = true;
            connection.after(waitMs, () -> {
                syncScheduled = false;
                sendPendingSyncs();
            });
            return;
        }
        bucket.takeUnconditionally(connection.now(), 1);
        syncing = true;
        List<Consumer<Boolean>> batch = takePendingSyncs();
        fetchChanges(0, SYNC_TIMEOUT_MS, complete -> {
            syncing = false;
            batch.forEach(done -> done.accept(complete));
            sendPendingSyncs();
        });
    }

    private List<Consumer<Boolean>> takePendingSyncs() {
        List<Consumer<Boolean>> batch = pendingSyncs;
        pendingSyncs = new ArrayList<>();
        return batch;
    }

    /**
     * Requests the changes since the replica's revision and applies them.
     *
     * @param waitMs how long the service waits for a change before it answers, in milliseconds
     * @param done   receives whether the replica contains everything that was stored when this request was sent
     */
    private void fetchChanges(long waitMs, long timeoutMs, Consumer<Boolean> done) {
        long sentAt = connection.now();
        String path = StateCodec.watchPath(Keys.REPLICATED, replica.revision(), waitMs);
        connection.call(HttpMethod.GET, path, null, timeoutMs, result -> {
            // The service no longer has all changes since the revision, or the answer is longer than this process
            // accepts. A listing helps in both cases: it needs no old changes and comes in pages.
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

    /** Applies an answer's changes. While a listing is running, the answer neither changes nor confirms the replica. */
    private void onChanges(StateCodec.Batch batch, long sentAt) {
        connection.onAnswered();
        boolean changed = !listing.isRunning()
                && replica.advance(batch.changes(), batch.revision())
                && !batch.changes().isEmpty();
        if (!listing.isRunning() && replica.unreadable() != null) {
            listing.waitUntilReadable();
        }
        if (!listing.isRunning() && replica.isInconsistent()) {
            LOG.info("entries are missing after a watch, listing the replica again, revision={}", replica.revision());
            listing.start();
        }
        if (!listing.isRunning()) {
            listener.onConfirmed(sentAt);
            listener.onAdvanced(changed);
        }
    }
}

package garnetscale.controller;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.state.StateReplica;
import garnetscale.core.state.Transaction;
import garnetscale.core.state.TransactionOutcome;
import garnetscale.net.HttpResult;
import io.netty.handler.codec.http.HttpMethod;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * Owns all communication of this process with the state service. Keeps the process's lease and its replica, and sends all other
 * requests within this controller's share of the service's rate limits. Each of these duties has a class of its own; all of them
 * run on the controller's event loop.
 */
final class StateLink implements JobApi.Store, ReplicaListener {

    /** Callbacks of the link to the controller. */
    interface Listener {
        /** Called when the replica has changed, and on each confirmation while the current lease isn't announced yet. */
        void onReplicaAdvanced();

        /**
         * Called when the replica contains everything that was stored when a request was sent.
         *
         * @param sentAt when the request was sent, in milliseconds of the steady clock
         */
        void onReplicaConfirmed(long sentAt);

        /**
         * Called when this process is registered under a lease, or has lost its lease.
         *
         * @param lease the number of the lease, or a negative number when it is lost
         */
        void onLeaseChanged(long lease);
    }

    /** The transport to the service, the clock and the timers. */
    interface Io {
        /** Returns the milliseconds of a steady clock. */
        long now();

        /** Runs a task on the event loop after a delay in milliseconds. */
        void after(long ms, Runnable task);

        /** Sends a request and calls back exactly once; {@code body} is null for a request without one. */
        void call(HttpMethod method, String path, byte[] body, long timeoutMs, Consumer<HttpResult> done);
    }

    /** Interval of the periodic syncs, which confirm the replica even if nothing else requests a sync. */
    static final long CONFIRM_INTERVAL_MS = 500;

    /**
     * Shares of watches and of reads in this controller's even part of the limit on requests: all controllers together stay
     * below the limit.
     */
    private static final double WATCH_SHARE = 0.45;

    private static final double READ_SHARE = 0.25;
    /** Keep-alives per lease duration. */
    private static final int RENEWALS_PER_LEASE = 4;
    /** The age of a replica that was never confirmed: above every bound on the age. */
    private static final long UNCONFIRMED_AGE_MS = 1_000_000;

    private final SchedulerConfig config;
    private final Listener listener;
    private final StateConnection connection;
    private final ReplicaListing listing;
    private final ReplicaWatch watch;
    private final StateReads reads;
    private final StateTransactions transactions;
    private final SessionLease session;
    private long confirmedAt;

    StateLink(SchedulerConfig config, Io io, RandomGenerator random, StateReplica replica, Listener listener) {
        this.config = config;
        this.listener = listener;
        double requestsPerS = config.stateRequestsPerS() / config.controllers().size();
        connection = new StateConnection(io, random);
        listing = new ReplicaListing(connection, replica, this);
        watch = new ReplicaWatch(connection, replica, listing, this, requestsPerS * WATCH_SHARE);
        reads = new StateReads(connection, requestsPerS * READ_SHARE);
        transactions = new StateTransactions(config, connection, replica);
        session = new SessionLease(config, connection, replica, transactions, watch, listener);
        confirmedAt = connection.now() - UNCONFIRMED_AGE_MS;
    }

    void start() {
        session.acquire();
        listing.start();
        connection.every(config.controllerLeaseMs() / RENEWALS_PER_LEASE, session::renew);
        connection.every(CONFIRM_INTERVAL_MS, () -> sync(complete -> {}));
    }

    /** Stops logging failed requests, since the process is ending. */
    void stop() {
        connection.stop();
    }

    /** Returns the rate limits by kind of request, for operators; see {@link StateConnection#describe}. */
    Map<String, Object> rateLimits() {
        Map<String, Object> limits = new LinkedHashMap<>();
        limits.put("watches", watch.rateLimit());
        limits.put("reads", reads.rateLimit());
        transactions.addRateLimits(limits);
        return limits;
    }

    /**
     * Returns the age of the replica in milliseconds: it contains everything that was stored at least this long ago. Before the
     * first confirmation the age is at least {@link #UNCONFIRMED_AGE_MS}.
     */
    long ageMs() {
        return connection.now() - confirmedAt;
    }

    // ---- callbacks of the listing and the watch

    @Override
    public void onConfirmed(long sentAt) {
        confirmedAt = Math.max(confirmedAt, sentAt);
        listener.onReplicaConfirmed(sentAt);
    }

    @Override
    public void onLoaded() {
        onChanged();
        watch.watch();
        watch.sendPendingSyncs();
    }

    @Override
    public void onAdvanced(boolean changed) {
        if (changed || !session.isAnnounced()) {
            onChanged();
        }
    }

    private void onChanged() {
        session.onReplicaAdvanced();
        listener.onReplicaAdvanced();
    }

    // ---- requests of the controller

    @Override
    public boolean failing() {
        return connection.failing();
    }

    @Override
    public void sync(Consumer<Boolean> done) {
        watch.sync(done);
    }

    @Override
    public void whenReadAllowed(Runnable task) {
        reads.whenReadAllowed(task);
    }

    @Override
    public void findExisting(List<String> keys, Consumer<Set<String>> done) {
        reads.findExisting(keys, done);
    }

    @Override
    public void get(String key, BiConsumer<Boolean, Object> done) {
        reads.get(key, done);
    }

    /** Sends a transaction of the leader once the limit on writes allows it. */
    void sendAsLeader(Transaction transaction, BiConsumer<TransactionOutcome, Long> done) {
        transactions.sendAsLeader(transaction, done);
    }

    @Override
    public void submit(Transaction transaction, BiConsumer<TransactionOutcome, Long> done) {
        transactions.submit(transaction, done);
    }

    /** Sends at once a transaction that can't wait, such as an election; see {@link StateTransactions#send}. */
    void send(Transaction transaction, BiConsumer<TransactionOutcome, Long> done) {
        transactions.send(transaction, done);
    }
}

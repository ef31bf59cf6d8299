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
 * The only way to the state service. It keeps the process's lease and its replica, and sends everything else within this
 * controller's part of the limits. Each part of it is a module of its own; all run on the controller's event loop.
 */
final class StateLink implements JobApi.Store, ReplicaListener {

    /** What the link tells the controller. */
    interface Listener {
        /** The replica has changed. */
        void onReplicaAdvanced();

        /** The replica contains all that was stored when a request was sent, by the steady clock. */
        void onReplicaConfirmed(long sentAt);

        /** This process is registered under a lease, or has lost it (negative). */
        void onLeaseGranted(long lease);
    }

    /** The connection to the service, and time. */
    interface Io {
        /** Milliseconds of a steady clock. */
        long now();

        /** Runs something on the event loop after so many milliseconds. */
        void after(long ms, Runnable run);

        /** Sends a request; {@code body} may be null. Calls back once. */
        void call(HttpMethod method, String path, byte[] body, long timeoutMs, Consumer<HttpResult> done);
    }

    /** How often the replica is confirmed when nobody asks. */
    static final long CONFIRM_MS = 500;

    /** Shares of the request limit that each kind of request may use: all controllers together stay below it. */
    private static final double WATCH_SHARE = 0.45;

    private static final double READ_SHARE = 0.25;
    /** A lease is renewed so often in its time. */
    private static final int RENEWALS_PER_LEASE = 4;
    /** The age of a replica that was never confirmed: older than any bound. */
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
        connection.every(CONFIRM_MS, () -> sync(complete -> {}));
    }

    /** The process ends: requests that fail from now on aren't logged. */
    void stop() {
        connection.stop();
    }

    /** What may be sent now of each part of the limits, and at which rate, for operators. */
    Map<String, Object> rateLimits() {
        Map<String, Object> budgets = new LinkedHashMap<>();
        budgets.put("watches", watch.budget());
        budgets.put("reads", reads.budget());
        transactions.addBudgets(budgets);
        return budgets;
    }

    /** How many milliseconds ago the newest request was sent as of which the replica is complete. */
    long ageMs() {
        return connection.now() - confirmedAt;
    }

    // ---- callbacks of the replica's modules

    @Override
    public void onConfirmed(long sentAt) {
        confirmedAt = Math.max(confirmedAt, sentAt);
        listener.onReplicaConfirmed(sentAt);
    }

    @Override
    public void onLoaded() {
        onChanged();
        watch.watch();
        watch.syncWaiting();
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

    // ---- what the controller asks for

    @Override
    public boolean failing() {
        return connection.failing();
    }

    @Override
    public void sync(Consumer<Boolean> done) {
        watch.sync(done);
    }

    @Override
    public void whenReadable(Runnable run) {
        reads.whenReadable(run);
    }

    @Override
    public void present(List<String> keys, Consumer<Set<String>> done) {
        reads.present(keys, done);
    }

    @Override
    public void get(String key, BiConsumer<Boolean, Object> done) {
        reads.get(key, done);
    }

    /** Sends a leader's transaction once the limits allow it. */
    void sendAsLeader(Transaction transaction, BiConsumer<TransactionOutcome, Long> done) {
        transactions.sendAsLeader(transaction, done);
    }

    @Override
    public void submit(Transaction transaction, BiConsumer<TransactionOutcome, Long> done) {
        transactions.submit(transaction, done);
    }

    /** Sends a transaction that can't wait, such as an election: see {@link StateTransactions#send}. */
    void send(Transaction transaction, BiConsumer<TransactionOutcome, Long> done) {
        transactions.send(transaction, done);
    }
}

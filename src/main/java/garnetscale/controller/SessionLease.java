package garnetscale.controller;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.cluster.ControllerInfo;
import garnetscale.core.state.Keys;
import garnetscale.core.state.Records;
import garnetscale.core.state.StateReplica;
import garnetscale.core.state.Transaction;
import garnetscale.core.state.TransactionOutcome;
import garnetscale.net.HttpResult;
import garnetscale.net.HttpStatus;
import garnetscale.wire.StateCodec;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Acquires and renews this process's lease. The process's record among the live controllers is attached to the lease; the
 * listener is notified of the lease once the replica shows that record. The lease's number is the process's incarnation.
 */
final class SessionLease {

    private static final Logger LOG = LoggerFactory.getLogger(SessionLease.class);
    private static final long RETRY_MS = 400;
    private static final long NO_LEASE = -1;

    private final SchedulerConfig config;
    private final StateConnection connection;
    private final StateReplica replica;
    private final StateTransactions transactions;
    private final ReplicaWatch watch;
    private final StateLink.Listener listener;
    private long lease = NO_LEASE;
    private long announcedLease = NO_LEASE;
    private boolean registering;

    SessionLease(
            SchedulerConfig config,
            StateConnection connection,
            StateReplica replica,
            StateTransactions transactions,
            ReplicaWatch watch,
            StateLink.Listener listener) {
        this.config = config;
        this.connection = connection;
        this.replica = replica;
        this.transactions = transactions;
        this.watch = watch;
        this.listener = listener;
    }

    /** Requests a lease until one is granted, and registers this process under it. */
    void acquire() {
        connection.call(
                HttpMethod.POST,
                StateCodec.LEASES_PATH,
                StateCodec.leaseRequest(config.controllerLeaseMs()),
                StateConnection.TIMEOUT_MS,
                this::onAcquired);
    }

    private void onAcquired(HttpResult result) {
        if (!result.is(HttpStatus.OK)) {
            connection.onFailed("lease", result);
            connection.retryAfter(RETRY_MS, this::acquire);
            return;
        }
        try {
            lease = StateCodec.grantedLease(result.body());
            connection.onAnswered();
            register();
        } catch (IOException e) {
            connection.retryAfter(RETRY_MS, this::acquire);
        }
    }

    /** Stores this process's record among the live controllers, overwriting a stale record of an earlier process. */
    private void register() {
        if (lease < 0 || registering || !replica.isLoaded() || isRegistered()) {
            return;
        }
        registering = true;
        long registered = lease;
        String key = Keys.controller(config.self());
        ControllerInfo info = new ControllerInfo(
                config.self(),
                registered,
                config.zoneOfController(config.self()),
                config.features().layouts());
        transactions.send(
                new Transaction().guard(key, replica.modRevision(key)).put(key, Records.controller(info), registered),
                (outcome, revision) -> onRegistered(outcome, registered));
    }

    private void onRegistered(TransactionOutcome outcome, long registered) {
        registering = false;
        if (outcome == TransactionOutcome.NO_LEASE && lease == registered) {
            onExpired();
        } else if (outcome == TransactionOutcome.OK) {
            LOG.info("controller is registered, node={} incarnation={}", config.self(), registered);
        }
        watch.sync(complete -> register());
    }

    private boolean isRegistered() {
        ControllerInfo registered = replica.controller(config.self());
        return registered != null && registered.incarnation() == lease;
    }

    private void onExpired() {
        LOG.info("lease expired, acquiring a new one, lease={}", lease);
        lease = NO_LEASE;
        listener.onLeaseChanged(NO_LEASE);
        acquire();
    }

    /** Sends a keep-alive for the lease. */
    void renew() {
        // A controller that can't read a stored record decides nothing. It lets its lease expire, so that others
        // get its partitions.
        if (lease < 0 || replica.unreadable() != null) {
            return;
        }
        long renewed = lease;
        connection.call(
                HttpMethod.POST,
                StateCodec.keepAlivePath(renewed),
                null,
                config.controllerLeaseMs() / 2,
                result -> onRenewed(result, renewed));
    }

    private void onRenewed(HttpResult result, long renewed) {
        if (renewed != lease) {
            return;
        }
        if (result.is(HttpStatus.NOT_FOUND)) {
            onExpired();
        } else if (result.is(HttpStatus.OK)) {
            connection.onAnswered();
        } else {
            connection.onFailed("keep-alive", result);
        }
    }

    /**
     * Returns whether the listener knows of the current lease. True also before the first lease is acquired; false from a
     * lease's expiry until the next one is announced.
     */
    boolean isAnnounced() {
        return announcedLease == lease;
    }

    /** Announces the lease to the listener if the replica shows the registration; registers again if it doesn't. */
    void onReplicaAdvanced() {
        boolean registered = lease >= 0 && isRegistered();
        if (registered && announcedLease != lease) {
            announcedLease = lease;
            listener.onLeaseChanged(lease);
        }
        if (!registered) {
            register();
        }
    }
}

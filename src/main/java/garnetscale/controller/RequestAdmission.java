package garnetscale.controller;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.state.StateReplica;

/**
 * Limits how many users' requests wait for the state service at the same time: further requests would only be answered late.
 * Confined to the event loop.
 */
final class RequestAdmission {

    /** Share of the limit that any request may use. */
    static final double FULL_SHARE = 1;
    /** Share of the limit that look-ups may use, so that submissions and cancellations are still admitted. */
    static final double LOOKUP_SHARE = 0.75;

    /** The limit on waiting requests is the limit on connections divided by this. */
    private static final int CONNECTIONS_PER_WAITING_REQUEST = 8;
    /** Lower bound of the limit on waiting requests. */
    private static final int MIN_LIMIT = 8;

    private final StateReplica replica;
    private final JobApi.Store store;
    private final int limit;
    private int waiting;

    RequestAdmission(SchedulerConfig config, StateReplica replica, JobApi.Store store) {
        this.replica = replica;
        this.store = store;
        this.limit = Math.max(MIN_LIMIT, config.maxConnections() / CONNECTIONS_PER_WAITING_REQUEST);
    }

    /** Returns whether a request that may use this share of the limit can be served from the state service now. */
    boolean admits(double share) {
        return replica.isLoaded() && !store.failing() && waiting <= share * limit;
    }

    /** Records that a request begins to wait for the state service. */
    void begin() {
        waiting++;
    }

    /** Records that a request no longer waits for the state service, whether or not it was answered. */
    void end() {
        waiting--;
    }
}

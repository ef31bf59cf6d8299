package garnetscale.controller;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.state.StateReplica;

/**
 * Limits how many users' requests wait for the state service at a time: more of them would only be answered late. Lives on the
 * event loop.
 */
final class RequestAdmission {

    /** The share of the limit that any request may use. */
    static final double ALL = 1;
    /** The share that look-ups may use, so that submissions and cancellations still find room. */
    static final double LOOKUPS = 0.75;

    /** The part of the process's sockets whose users may wait, and the least number of them. */
    private static final int SOCKETS_PER_WAITING = 8;

    private static final int MIN_LIMIT = 8;

    private final StateReplica replica;
    private final JobApi.Store store;
    private final int limit;
    private int waiting;

    RequestAdmission(SchedulerConfig config, StateReplica replica, JobApi.Store store) {
        this.replica = replica;
        this.store = store;
        this.limit = Math.max(MIN_LIMIT, config.maxConnections() / SOCKETS_PER_WAITING);
    }

    /** Whether a request that may use this share of the limit can be served by way of the state service now. */
    boolean admits(double share) {
        return replica.isLoaded() && !store.failing() && waiting <= share * limit;
    }

    /** A request begins to wait for the state service. */
    void begin() {
        waiting++;
    }

    /** A request has been answered by the state service, or can't be. */
    void end() {
        waiting--;
    }
}

package garnetscale.net;

import io.netty.channel.Channel;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Limits the connections of one process and decides which idle ones to close for new ones. A process at its limit of sockets
 * can't open another, not even to the state service. Some sockets are therefore reserved for connections that the process can't
 * do without.
 *
 * <p>For the other sockets, workers have priority over users, since one controller may be the only one left to serve all workers.
 * A connection on which a worker has sent a heartbeat is never closed for a new one. At the limit, idle connections that this
 * process opened to workers are closed first, which costs only a handshake later, and then idle connections of users, in both
 * cases the longest idle first. A new connection is refused only when no idle one is left.
 *
 * <p>Confined to one event loop, like all code that opens or accepts connections.
 */
public final class ConnectionLimiter {

    /**
     * The number of reserved sockets is the maximum number of sockets divided by this, but at least {@link #MIN_RESERVED}. They
     * are for listeners, the state service, the cloud and peers, and for connections that are closed here but not yet at the
     * other end: a machine behind a network partition doesn't answer while the partition lasts.
     */
    private static final int RESERVED_DIVISOR = 8;

    private static final int MIN_RESERVED = 8;
    /** The limit of idle connections to workers is the maximum number of sockets divided by this. */
    private static final int IDLE_TO_WORKERS_DIVISOR = 8;

    /** The maximum number of counted connections: the maximum number of sockets without the reserved ones. */
    private final int limit;

    private final int idleToWorkersLimit;
    private final double scarcityThreshold;
    private final Set<Channel> idleToWorkers = new LinkedHashSet<>();
    private final Set<Channel> idleUsers = new LinkedHashSet<>();
    /** Connections closed here and no longer counted, for which Netty has yet to report the close. */
    private final Set<Channel> closing = new HashSet<>();

    private int openConnections;

    /** Creates a limiter under which sockets are never scarce, so that workers keep their connections. */
    public ConnectionLimiter(int maxConnections) {
        this(maxConnections, Double.POSITIVE_INFINITY);
    }

    /**
     * Creates a limiter.
     *
     * @param maxConnections    the most sockets that the process may use, including those reserved
     * @param scarcityThreshold the share of the unreserved sockets, as a fraction, that must be in use for {@link #isScarce} to
     *     return true, which makes workers take turns; infinity for never
     */
    public ConnectionLimiter(int maxConnections, double scarcityThreshold) {
        this.scarcityThreshold = scarcityThreshold;
        this.limit = Math.max(1, maxConnections - Math.max(MIN_RESERVED, maxConnections / RESERVED_DIVISOR));
        this.idleToWorkersLimit = Math.max(1, maxConnections / IDLE_TO_WORKERS_DIVISOR);
    }

    /**
     * Counts a new connection; if the limit is reached, closes an idle one for it. Returns false and counts nothing if no idle
     * connection is left to close.
     */
    boolean tryOpen() {
        while (openConnections >= limit && (closeLongestIdle(idleToWorkers) || closeLongestIdle(idleUsers))) {
            openConnections--;
        }
        if (openConnections >= limit) {
            return false;
        }
        openConnections++;
        return true;
    }

    /**
     * Removes a closed connection from the count and from the idle ones. A connection that this limiter closed has already been
     * removed from both.
     *
     * @param channel the connection; null if it was counted but never established
     */
    void onClosed(Channel channel) {
        if (channel == null || !closing.remove(channel)) {
            openConnections--;
        }
        if (channel != null) {
            markInUse(channel);
        }
    }

    private boolean closeLongestIdle(Set<Channel> idle) {
        if (idle.isEmpty()) {
            return false;
        }
        Channel longestIdle = idle.iterator().next();
        idle.remove(longestIdle);
        closing.add(longestIdle);
        longestIdle.close();
        return true;
    }

    /** Marks a user's connection as idle, that is, without a request in flight. */
    void markIdleUser(Channel user) {
        idleUsers.add(user);
    }

    /** Marks a connection to a worker as idle. Closes the longest idle one if there are too many. */
    void markIdleToWorker(Channel toWorker) {
        idleToWorkers.add(toWorker);
        if (idleToWorkers.size() > idleToWorkersLimit && closeLongestIdle(idleToWorkers)) {
            openConnections--;
        }
    }

    /** Marks a connection as no longer idle: it is in use again, or closed. */
    void markInUse(Channel channel) {
        if (!idleUsers.remove(channel)) {
            idleToWorkers.remove(channel);
        }
    }

    /**
     * Returns whether the sockets in use have reached the scarcity threshold, so that workers' connections must be closed after
     * each answer. There may be more workers than sockets: a worker that gets no socket loses its lease, while a worker that
     * reconnects for each heartbeat keeps it. Idle connections don't count as in use, since new connections replace them.
     */
    boolean isScarce() {
        return openConnections - idleUsers.size() - idleToWorkers.size() >= scarcityThreshold * limit;
    }

    /** Returns the number of open connections, without those that this limiter has closed. */
    int openConnections() {
        return openConnections;
    }
}

package garnetscale.net;

import io.netty.channel.Channel;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Shares the process's sockets. Above its limit a process gets none at all, not even for the state service, and one controller
 * may be the only one that is left for every worker. So a part is reserved for what the process itself can't do without, and of
 * the rest workers' connections come first: when it runs out, idle connections to workers are closed, which costs a handshake
 * later, then users' idle connections, longest unused first, and only when there is neither is a new one turned away. Lives on
 * one event loop, like all that opens or accepts connections.
 */
public final class ConnectionLimiter {

    /**
     * The part reserved for listeners, state service, cloud and peers, and for connections that are closed here but not yet at
     * the other end: a machine behind a network partition says nothing for as long as it lasts.
     */
    private static final int RESERVED_PART = 8;

    private static final int MIN_RESERVED = 8;
    /** The part that may be idle connections to workers. */
    private static final int IDLE_TO_WORKERS_PART = 8;

    private final int limit;
    private final int idleToWorkersLimit;
    private final double scarceFrom;
    private final Set<Channel> idleToWorkers = new LinkedHashSet<>();
    private final Set<Channel> idleUsers = new LinkedHashSet<>();
    /** Closed here and already out of the count; Netty tells of their end only later. */
    private final Set<Channel> closing = new HashSet<>();

    private int open;

    /** A limiter under which workers keep their connections. */
    public ConnectionLimiter(int maxConnections) {
        this(maxConnections, Double.POSITIVE_INFINITY);
    }

    /** From the share {@code scarceFrom} of the sockets in use on, {@link #isScarce} asks workers to take turns. */
    public ConnectionLimiter(int maxConnections, double scarceFrom) {
        this.scarceFrom = scarceFrom;
        this.limit = Math.max(1, maxConnections - Math.max(MIN_RESERVED, maxConnections / RESERVED_PART));
        this.idleToWorkersLimit = Math.max(1, maxConnections / IDLE_TO_WORKERS_PART);
    }

    /** Counts one more connection; false, and not counted, when none can be closed to make room for it. */
    boolean tryOpen() {
        while (open >= limit && (closeLongestIdle(idleToWorkers) || closeLongestIdle(idleUsers))) {
            open--;
        }
        if (open >= limit) {
            return false;
        }
        open++;
        return true;
    }

    /** A counted connection is closed; null when it never came about. */
    void onClosed(Channel channel) {
        if (channel == null || !closing.remove(channel)) {
            open--;
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

    /** A user's connection has no request under way. */
    void markIdleUser(Channel user) {
        idleUsers.add(user);
    }

    /** A connection to a worker has no request under way. */
    void markIdleToWorker(Channel toWorker) {
        idleToWorkers.add(toWorker);
        if (idleToWorkers.size() > idleToWorkersLimit && closeLongestIdle(idleToWorkers)) {
            open--;
        }
    }

    /** The connection is in use again, or closed. */
    void markInUse(Channel channel) {
        if (!idleUsers.remove(channel)) {
            idleToWorkers.remove(channel);
        }
    }

    /**
     * Whether so many sockets are in use that workers are to give theirs back after each answer: there may be more workers
     * than sockets, and one that finds none loses its lease, while one that connects anew for each heartbeat does not. Idle
     * connections don't count, since a new one takes their place.
     */
    boolean isScarce() {
        return open - idleUsers.size() - idleToWorkers.size() >= scarceFrom * limit;
    }

    /** How many connections are counted. */
    int open() {
        return open;
    }
}

package garnetscale.net;

import io.netty.channel.Channel;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The process's sockets, given out by need. Above its limit a process gets none at all, not even for the state service,
 * and one controller may be the only one that is left for every worker. So a part is set aside for what the process itself
 * can't do without, and of the rest workers' connections come first: when it runs out, connections to workers that are at
 * rest are closed, which costs a handshake later, then users' connections at rest, longest unused first, and only when
 * there is neither is a new one turned away. Lives on one event loop, like all that opens or accepts connections.
 */
public final class ConnectionLimiter {

    /**
     * The part set aside for listeners, state service, cloud and peers, and for connections that are closed here but not
     * yet at the other end: a machine behind a cut says nothing for as long as it lasts.
     */
    private static final int ASIDE = 8;

    private static final int LEAST_ASIDE = 8;
    /** The part that may be connections to workers at rest. */
    private static final int IDLE = 8;

    private final int most;
    private final int mostIdle;
    private final Set<Channel> idle = new LinkedHashSet<>();
    private final Set<Channel> users = new LinkedHashSet<>();
    /** Closed here and already out of the count; Netty tells of their end only later. */
    private final Set<Channel> shed = new HashSet<>();

    private final double sharedFrom;
    private int open;

    /** Sockets that workers keep for themselves. */
    public ConnectionLimiter(int maxConnections) {
        this(maxConnections, Double.POSITIVE_INFINITY);
    }

    /** From that share of the sockets in use on, {@link #isScarce} asks workers to take turns. */
    public ConnectionLimiter(int maxConnections, double sharedFrom) {
        this.sharedFrom = sharedFrom;
        this.most = Math.max(1, maxConnections - Math.max(LEAST_ASIDE, maxConnections / ASIDE));
        this.mostIdle = Math.max(1, maxConnections / IDLE);
    }

    /** Whether a connection more finds room, if need be by closing one that is at rest. It counts from now on if so. */
    boolean enter() {
        while (open >= most && (closeOldest(idle) || closeOldest(users))) {
            open--;
        }
        if (open >= most) {
            return false;
        }
        open++;
        return true;
    }

    /** A connection that had entered is closed; null when it never came about. */
    void leave(Channel channel) {
        if (channel == null || !shed.remove(channel)) {
            open--;
        }
        if (channel != null) {
            wake(channel);
        }
    }

    private boolean closeOldest(Set<Channel> resting) {
        if (resting.isEmpty()) {
            return false;
        }
        Channel oldest = resting.iterator().next();
        resting.remove(oldest);
        shed.add(oldest);
        oldest.close();
        return true;
    }

    /** A user's connection with no request under way. */
    void restUser(Channel user) {
        users.add(user);
    }

    /** A connection to a worker with no request under way. */
    void restIdle(Channel toWorker) {
        idle.add(toWorker);
        if (idle.size() > mostIdle && closeOldest(idle)) {
            open--;
        }
    }

    /** The connection is in use again, or gone. */
    void wake(Channel channel) {
        if (!users.remove(channel)) {
            idle.remove(channel);
        }
    }

    /**
     * Whether so many sockets are in use that workers are to give theirs back after each answer: there may be more workers
     * than sockets, and one that finds none loses its lease, while one that connects anew for each report does not.
     * Connections at rest don't count, since a new one takes their place.
     */
    boolean isScarce() {
        return open - users.size() - idle.size() >= sharedFrom * most;
    }

    int open() {
        return open;
    }
}

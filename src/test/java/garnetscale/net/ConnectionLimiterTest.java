package garnetscale.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.Channel;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Checks the limiter when only one controller is left: 1,600 workers connect to it while users' connections and its own idle
 * connections to workers have taken all sockets.
 */
class ConnectionLimiterTest {

    private static final int LIMIT = 2266;
    private static final int WORKERS = 1600;

    private final ConnectionLimiter limiter = new ConnectionLimiter(LIMIT);

    private List<Channel> openIdle(int count, boolean users) {
        List<Channel> list = new ArrayList<>();
        for (int i = 0; i < count && limiter.tryOpen(); i++) {
            Channel channel = new EmbeddedChannel();
            if (users) {
                limiter.markIdleUser(channel);
            } else {
                limiter.markIdleToWorker(channel);
            }
            list.add(channel);
        }
        return list;
    }

    private static long closed(List<Channel> list) {
        return list.stream().filter(channel -> !channel.isOpen()).count();
    }

    @Test
    void workersTakeTheSocketsOfIdleConnectionsAndReservedOnesStayFree() {
        List<Channel> idle = openIdle(600, false);
        List<Channel> users = openIdle(3000, true);
        assertTrue(limiter.openConnections() < LIMIT, "no socket is reserved");
        assertEquals(600, closed(idle), "idle connections to workers are closed before those of users");
        for (int i = 0; i < WORKERS; i++) {
            assertTrue(limiter.tryOpen(), "worker " + i + " got no socket");
        }
        assertTrue(limiter.openConnections() <= LIMIT - LIMIT / 8, limiter.openConnections() + " connections open");
        long left = users.stream().filter(Channel::isOpen).count();
        assertTrue(left > 300, "only " + left + " users' connections are left");
        assertFalse(users.get(0).isOpen(), "the longest idle connection is closed first");
        assertTrue(users.get(users.size() - 1).isOpen());
    }

    /**
     * Netty reports the close of a connection later than the limiter closes it. If that were subtracted twice, more connections
     * would be accepted than the limit allows.
     */
    @Test
    void aConnectionClosedByTheLimiterIsSubtractedOnce() {
        List<Channel> users = openIdle(3000, true);
        int open = limiter.openConnections();
        users.stream().filter(channel -> !channel.isOpen()).forEach(limiter::onClosed);
        assertEquals(open, limiter.openConnections());
        users.stream().filter(Channel::isOpen).forEach(limiter::onClosed);
        assertEquals(0, limiter.openConnections());
    }

    /** Idle connections don't make sockets scarce, since new connections replace them. */
    @Test
    void onlyConnectionsInUseMakeSocketsScarce() {
        ConnectionLimiter withThreshold = new ConnectionLimiter(LIMIT, 0.5);
        int usable = LIMIT - LIMIT / 8;
        for (int i = 0; i < usable; i++) {
            assertTrue(withThreshold.tryOpen());
            withThreshold.markIdleUser(new EmbeddedChannel());
        }
        assertFalse(withThreshold.isScarce(), "idle users' connections can be replaced");
        for (int i = 0; i < usable; i++) {
            assertEquals(i >= (usable + 1) / 2, withThreshold.isScarce(), i + " workers of " + usable);
            assertTrue(withThreshold.tryOpen());
        }
        assertFalse(limiter.isScarce(), "without a threshold, workers keep their sockets");
    }

    @Test
    void aNewConnectionIsRefusedWhenAllAreInUse() {
        while (limiter.tryOpen()) {
            // Workers' connections, none of them idle.
        }
        int open = limiter.openConnections();
        assertFalse(limiter.tryOpen());
        assertEquals(open, limiter.openConnections());
        limiter.onClosed(null);
        assertTrue(limiter.tryOpen());
    }
}

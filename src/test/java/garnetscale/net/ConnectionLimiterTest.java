package garnetscale.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.Channel;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** One controller is the only one left: 1,600 workers come to it while users and its own commands have the limiter. */
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
    void workersComeFirstAndWhatIsSetAsideStaysFree() {
        List<Channel> idle = openIdle(600, false);
        List<Channel> users = openIdle(3000, true);
        assertTrue(limiter.open() < LIMIT, "nothing set aside");
        assertEquals(600, closed(idle), "connections at rest to workers go before users'");
        for (int i = 0; i < WORKERS; i++) {
            assertTrue(limiter.tryOpen(), "worker " + i + " found no socket");
        }
        assertTrue(limiter.open() <= LIMIT - LIMIT / 8, limiter.open() + " open");
        long left = users.stream().filter(Channel::isOpen).count();
        assertTrue(left > 300, "only " + left + " users are left");
        assertFalse(users.get(0).isOpen(), "the longest unused goes first");
        assertTrue(users.get(users.size() - 1).isOpen());
    }

    /** Netty tells of a closed connection's end later; counted twice, it would let in more than there is room for. */
    @Test
    void whatWasShedLeavesTheCountOnce() {
        List<Channel> users = openIdle(3000, true);
        int open = limiter.open();
        users.stream().filter(channel -> !channel.isOpen()).forEach(limiter::onClosed);
        assertEquals(open, limiter.open());
        users.stream().filter(Channel::isOpen).forEach(limiter::onClosed);
        assertEquals(0, limiter.open());
    }

    /** What is at rest doesn't make sockets scarce, since a new connection takes its place. */
    @Test
    void socketsAreScarceByWhatIsInUse() {
        ConnectionLimiter shared = new ConnectionLimiter(LIMIT, 0.5);
        int usable = LIMIT - LIMIT / 8;
        for (int i = 0; i < usable; i++) {
            assertTrue(shared.tryOpen());
            shared.markIdleUser(new EmbeddedChannel());
        }
        assertFalse(shared.isScarce(), "users at rest make room");
        for (int i = 0; i < usable; i++) {
            assertEquals(i >= (usable + 1) / 2, shared.isScarce(), i + " workers of " + usable);
            assertTrue(shared.tryOpen());
        }
        assertFalse(limiter.isScarce(), "workers keep their sockets unless they are to share");
    }

    @Test
    void aNewOneIsTurnedAwayWhenAllAreInUse() {
        while (limiter.tryOpen()) {
            // Workers' connections, none at rest.
        }
        int open = limiter.open();
        assertFalse(limiter.tryOpen());
        assertEquals(open, limiter.open());
        limiter.onClosed(null);
        assertTrue(limiter.tryOpen());
    }
}

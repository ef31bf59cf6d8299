package garnetscale.controller;

import garnetscale.peer.PeerMessage;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/** The latest heartbeat of each other controller, with the time at which it came. Lives on the event loop. */
final class PeerHeartbeats {

    /** How often a controller sends a heartbeat, in milliseconds. */
    static final long INTERVAL_MS = 1000;
    /** A peer is silent after so many intervals without a heartbeat. */
    private static final long SILENT_INTERVALS = 4;
    /** A peer's last heartbeat tells of its connection to the state service for so many intervals. */
    private static final long CURRENT_INTERVALS = 3;
    /** The state service is reached by whoever was answered within this time. */
    private static final long MAX_STATE_AGE_MS = 3 * StateLink.CONFIRM_MS;

    /** One heartbeat and the time at which it came. */
    record Received(PeerMessage.ControllerHeartbeat heartbeat, long at) {}

    private final Map<String, Received> latest = new HashMap<>();

    /** Keeps a heartbeat; returns the one before it from the same controller, or null. */
    Received put(PeerMessage.ControllerHeartbeat heartbeat, long now) {
        return latest.put(heartbeat.node(), new Received(heartbeat, now));
    }

    /** This process stood still, so that heartbeats are still to be read: counts silence from now on. */
    void restartTimers(long now) {
        latest.replaceAll((peer, received) -> new Received(received.heartbeat(), now));
    }

    /** Names the peers that have been silent for too long. */
    void forEachSilent(long now, Consumer<String> action) {
        latest.forEach((peer, received) -> {
            if (now - received.at() > SILENT_INTERVALS * INTERVAL_MS) {
                action.accept(peer);
            }
        });
    }

    /** Whether any peer reaches the state service, by a heartbeat that still counts. */
    boolean anyReachesState(long now) {
        for (Received received : latest.values()) {
            if (now - received.at() < CURRENT_INTERVALS * INTERVAL_MS
                    && reachesState(received.heartbeat().stateAgeMs())) {
                return true;
            }
        }
        return false;
    }

    /** Whether a controller reaches the state service whose last answered request is so old. */
    static boolean reachesState(long stateAgeMs) {
        return stateAgeMs < MAX_STATE_AGE_MS;
    }
}

package garnetscale.controller;

import garnetscale.peer.PeerMessage;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/** Keeps the latest heartbeat of each other controller and when it arrived. Confined to the event loop. */
final class PeerHeartbeats {

    /** Interval at which a controller sends heartbeats. */
    static final long INTERVAL_MS = 1000;
    /** A peer is silent after this many intervals without a heartbeat. */
    private static final long SILENT_INTERVALS = 4;
    /** The state age in a heartbeat is valid for this many intervals after the heartbeat's arrival. */
    private static final long VALID_INTERVALS = 3;
    /** A controller counts as reaching the state service if its replica is younger than this. */
    private static final long MAX_STATE_AGE_MS = 3 * StateLink.CONFIRM_INTERVAL_MS;

    /** A heartbeat and when it arrived, in milliseconds of the steady clock. */
    record Received(PeerMessage.ControllerHeartbeat heartbeat, long at) {}

    private final Map<String, Received> latest = new HashMap<>();

    /** Stores a heartbeat, and returns the previous one from the same controller, or null. */
    Received put(PeerMessage.ControllerHeartbeat heartbeat, long now) {
        return latest.put(heartbeat.node(), new Received(heartbeat, now));
    }

    /** Measures silence from {@code now} on, after a stall of this process: heartbeats that arrived meanwhile aren't read yet. */
    void restartTimers(long now) {
        latest.replaceAll((peer, received) -> new Received(received.heartbeat(), now));
    }

    /** Calls the action with the name of each silent peer. */
    void forEachSilent(long now, Consumer<String> action) {
        latest.forEach((peer, received) -> {
            if (now - received.at() > SILENT_INTERVALS * INTERVAL_MS) {
                action.accept(peer);
            }
        });
    }

    /** Returns whether any peer reaches the state service, by a heartbeat that is still valid. */
    boolean anyReachesState(long now) {
        for (Received received : latest.values()) {
            if (now - received.at() < VALID_INTERVALS * INTERVAL_MS
                    && reachesState(received.heartbeat().stateAgeMs())) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns whether a controller reaches the state service.
     *
     * @param stateAgeMs age of the controller's replica in milliseconds; see {@link StateLink#ageMs}
     */
    static boolean reachesState(long stateAgeMs) {
        return stateAgeMs < MAX_STATE_AGE_MS;
    }
}

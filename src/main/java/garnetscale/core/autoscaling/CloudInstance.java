package garnetscale.core.autoscaling;

/**
 * A machine as the cloud's instance list shows it. Lists are delayed, and one may be older than the one before it.
 *
 * @param address where its agent is reached; empty while it boots
 * @param ageS    seconds since its launch, at the time of the list
 */
public record CloudInstance(
        String id, String address, String type, String zone, boolean spot, State state, double ageS) {

    /** The cloud's state of an instance. */
    public enum State {
        BOOTING,
        RUNNING,
        FAILED
    }
}

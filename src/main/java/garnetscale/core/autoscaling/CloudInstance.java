package garnetscale.core.autoscaling;

/**
 * An instance as the cloud's instance list shows it. Lists are delayed, and a list may be older than the previous one.
 *
 * @param address address of the instance's agent; empty while the instance boots
 * @param ageS seconds from the launch of the instance to the time of the list
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

package garnetscale.core.autoscaling;

/** A machine as the cloud lists it; the list is late, and may be older than the one before. */
public record CloudInstance(
        String id, String address, String type, String zone, boolean spot, State state, double ageS) {

    /** How the cloud says a machine is. */
    public enum State {
        BOOTING,
        RUNNING,
        FAILED
    }
}

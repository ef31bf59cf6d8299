package garnetscale.core.autoscaling;

import java.util.List;

/** A request to the cloud. */
public sealed interface CloudCall {

    /** The machine types with their current prices. */
    record ListTypes() implements CloudCall {}

    /** One page of the machine list, after the named machine. */
    record ListInstances(String after) implements CloudCall {}

    /** A rental. The request's name is never used again, since a repeat of an answered one rents nothing. */
    record ScaleOut(String request, String type, String zone, boolean spot, int count) implements CloudCall {}

    /** Deletes machines, which may be gone already. */
    record ScaleIn(List<String> machines) implements CloudCall {}
}

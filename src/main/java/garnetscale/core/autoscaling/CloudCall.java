package garnetscale.core.autoscaling;

import java.util.List;

/** A request to the cloud's API; see the cloud's part of PROTOCOL. */
public sealed interface CloudCall {

    /** Asks for the machine types with their present prices. */
    record ListTypes() implements CloudCall {}

    /**
     * Asks for one page of the instance list.
     *
     * @param after the last machine of the page before; empty for the first page
     */
    record ListInstances(String after) implements CloudCall {}

    /**
     * Launches instances.
     *
     * @param request makes the request idempotent; never used for a second request, since the cloud launches nothing for one
     *     that it has answered
     * @param count   how many to launch; the cloud may launch fewer
     */
    record ScaleOut(String request, String type, String zone, boolean spot, int count) implements CloudCall {}

    /** Deletes machines, which may be terminated already; the answer proves that they are. */
    record ScaleIn(List<String> machines) implements CloudCall {

        /** Most machines in one request. */
        static final int MAX_MACHINES = 100;
    }
}

package garnetscale.core.autoscaling;

import java.util.List;

/** A request to the cloud's API; see the cloud's part of PROTOCOL. */
public sealed interface CloudCall {

    /** Requests the machine types with their current prices. */
    record ListTypes() implements CloudCall {}

    /**
     * Requests one page of the instance list.
     *
     * @param after the id of the last machine on the previous page; empty for the first page
     */
    record ListInstances(String after) implements CloudCall {}

    /**
     * Launches instances.
     *
     * @param request id that makes the request idempotent. An id is used for one request only, since the cloud launches nothing
     *     for an id that it has already answered.
     * @param count the number of instances to launch; the cloud may launch fewer
     */
    record ScaleOut(String request, String type, String zone, boolean spot, int count) implements CloudCall {}

    /** Deletes machines, which may have terminated already; the answer proves that they have terminated. */
    record ScaleIn(List<String> machines) implements CloudCall {

        /** The most machines in one request. */
        static final int MAX_MACHINES = 100;
    }
}

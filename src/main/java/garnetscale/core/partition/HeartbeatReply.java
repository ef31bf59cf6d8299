package garnetscale.core.partition;

import garnetscale.core.machine.WorkerCommand;
import java.util.List;

/** The reply of a controller to a worker's heartbeat. */
public sealed interface HeartbeatReply {

    /**
     * The heartbeat was accepted and renews the worker's lease.
     *
     * @param fencingToken the token that the worker holds from now on
     * @param commands commands for the worker to execute
     */
    record Acknowledge(long fencingToken, List<WorkerCommand> commands) implements HeartbeatReply {}

    /**
     * Another controller owns the worker's partition.
     *
     * @param node the name of the owner, or null if no owner is known
     */
    record Redirect(String node) implements HeartbeatReply {}

    /**
     * This controller may not act at the moment, the worker has seen a newer term, or a newer heartbeat has been handled
     * already.
     *
     * @param reason text for the worker's log
     */
    record Reject(String reason) implements HeartbeatReply {}
}

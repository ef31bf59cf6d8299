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
     * This controller doesn't own the worker's partition.
     *
     * @param node the name of the owner, or null if no owner is known
     */
    record Redirect(String node) implements HeartbeatReply {}

    /**
     * The heartbeat doesn't renew the worker's lease: this controller may not act at the moment, the worker has seen a newer
     * term, or the heartbeat isn't newer than the last one or is of an ended agent epoch.
     *
     * @param reason text for the worker's log
     */
    record Reject(String reason) implements HeartbeatReply {}
}

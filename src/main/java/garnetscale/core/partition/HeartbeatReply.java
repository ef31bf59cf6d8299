package garnetscale.core.partition;

import garnetscale.core.machine.WorkerCommand;
import java.util.List;

/** How the owner of a partition answers the heartbeat of one of its workers. */
public sealed interface HeartbeatReply {

    /**
     * The heartbeat was accepted and renews the worker's lease.
     *
     * @param fencingToken the token that the worker holds from now on
     * @param commands what the worker is to do
     */
    record Acknowledge(long fencingToken, List<WorkerCommand> commands) implements HeartbeatReply {}

    /** Another controller owns the worker's partition; {@code node} is null when no owner is known. */
    record Redirect(String node) implements HeartbeatReply {}

    /**
     * This controller may not act at the moment, or a newer heartbeat has been handled already.
     *
     * @param reason for the worker's log
     */
    record Reject(String reason) implements HeartbeatReply {}
}

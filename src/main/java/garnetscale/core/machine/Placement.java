package garnetscale.core.machine;

import garnetscale.core.job.TaskId;

/**
 * The stored permission for one attempt to be on one machine, written before any start is sent.
 *
 * @param task the task
 * @param attempt unique among all attempts of all tasks
 * @param agentEpoch the worker's agent epoch in which the attempt was awarded; the attempt can't be on the machine in a later
 *     epoch
 * @param stop whether and how the leader wants the attempt stopped
 */
public record Placement(TaskId task, long attempt, long agentEpoch, Stop stop) {

    /** What the leader requests for a placed attempt. */
    public enum Stop {
        /** Let the attempt run. */
        KEEP,
        /** Stop the attempt, with time to write a checkpoint. */
        CHECKPOINT,
        /** Stop the attempt at once. */
        NOW
    }

    /** Returns a copy of this placement with another request of the leader. */
    public Placement withStop(Stop next) {
        return new Placement(task, attempt, agentEpoch, next);
    }

    /** Explicit because it is on the hot path; see {@link garnetscale.core}. */
    @Override
    public boolean equals(Object object) {
        return object instanceof Placement other
                && attempt == other.attempt
                && agentEpoch == other.agentEpoch
                && stop == other.stop
                && task.equals(other.task);
    }

    @Override
    public int hashCode() {
        return Long.hashCode(attempt);
    }
}

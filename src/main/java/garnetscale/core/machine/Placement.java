package garnetscale.core.machine;

import garnetscale.core.job.TaskId;

/**
 * The stored permission of one attempt to be on one machine, written before any start is sent.
 *
 * @param task the task
 * @param attempt unique among all attempts of all tasks
 * @param agentEpoch the worker's agent epoch that it was awarded in; in a later one the attempt can't be there
 * @param stop whether and how the leader wants the attempt stopped
 */
public record Placement(TaskId task, long attempt, long agentEpoch, Stop stop) {

    /** What the leader wants of a placed attempt. */
    public enum Stop {
        /** Let it run. */
        KEEP,
        /** Stop it, with time to write a checkpoint. */
        CHECKPOINT,
        /** Stop it at once. */
        NOW
    }

    /** The same placement with another wish of the leader. */
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

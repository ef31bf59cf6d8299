package garnetscale.core.machine;

import garnetscale.core.job.TaskId;

/**
 * The stored right of one attempt to be on one machine, written before any start is sent.
 *
 * @param agentEpoch the worker's session that it was awarded in; in a later one the attempt can't be there
 * @param stop  whether and how the leader wants the attempt stopped
 */
public record Placement(TaskId task, long attempt, long agentEpoch, Stop stop) {

    /** What the leader wants of a placed attempt. */
    public enum Stop {
        KEEP,
        CHECKPOINT,
        NOW
    }

    public Placement withStop(Stop next) {
        return new Placement(task, attempt, agentEpoch, next);
    }

    /** Explicit because it is on the hot path; see the package documentation of {@code garnetscale.core}. */
    @Override
    public boolean equals(Object o) {
        return o instanceof Placement other
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

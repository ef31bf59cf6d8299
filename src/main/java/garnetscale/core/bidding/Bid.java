package garnetscale.core.bidding;

/**
 * A machine's bid to run tasks of a job in its queue.
 *
 * @param machine the machine's name
 * @param agentEpoch the agent epoch of the machine when it bids; the bid is void in a later epoch
 * @param job the job's id
 * @param slots the most tasks of the job that the machine would run
 * @param finishS estimated seconds from now until such a task would be complete: image fetch, run time and, on a spot instance,
 *     the expected loss by evictions
 */
public record Bid(String machine, long agentEpoch, String job, int slots, double finishS) {

    /** Explicit because it is on the hot path; see {@link garnetscale.core}. */
    @Override
    public boolean equals(Object object) {
        return object instanceof Bid other
                && agentEpoch == other.agentEpoch
                && slots == other.slots
                && Double.compare(finishS, other.finishS) == 0
                && machine.equals(other.machine)
                && job.equals(other.job);
    }

    @Override
    public int hashCode() {
        return 31 * machine.hashCode() + job.hashCode();
    }
}

package garnetscale.core.bidding;

/**
 * A machine's offer to run up to {@code slots} tasks of a job that stands in its line.
 *
 * @param finishS estimated seconds from now until such a task would be finished: image fetch and run
 */
public record Bid(String machine, long agentEpoch, String job, int slots, double finishS) {

    /** Explicit because it is on the hot path; see the package documentation of {@code garnetscale.core}. */
    @Override
    public boolean equals(Object o) {
        return o instanceof Bid other
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

package garnetscale.core.partition;

/** The leader by the state service. {@code term} comes from the stored counter and only rises. */
public record LeaderInfo(String node, long incarnation, long term) {

    /** Explicit because it is on the hot path; see the package documentation of {@code garnetscale.core}. */
    @Override
    public boolean equals(Object o) {
        return o instanceof LeaderInfo other
                && incarnation == other.incarnation
                && term == other.term
                && node.equals(other.node);
    }

    @Override
    public int hashCode() {
        return Long.hashCode(term);
    }
}

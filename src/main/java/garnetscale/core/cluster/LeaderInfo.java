package garnetscale.core.cluster;

/**
 * The leader as the state service has it.
 *
 * @param node the name of its controller
 * @param incarnation the state lease of its process
 * @param term comes from the stored counter and only rises
 */
public record LeaderInfo(String node, long incarnation, long term) {

    /** Explicit because it is on the hot path; see {@link garnetscale.core}. */
    @Override
    public boolean equals(Object object) {
        return object instanceof LeaderInfo other
                && incarnation == other.incarnation
                && term == other.term
                && node.equals(other.node);
    }

    @Override
    public int hashCode() {
        return Long.hashCode(term);
    }
}

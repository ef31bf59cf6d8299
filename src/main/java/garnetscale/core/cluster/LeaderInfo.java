package garnetscale.core.cluster;

/**
 * The leader, as recorded in the state service.
 *
 * @param node the name of the leader's controller
 * @param incarnation the id of the session lease of the leader's process
 * @param term the leader term, which is taken from the stored counter and only increases
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

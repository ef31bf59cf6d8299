package garnetscale.core.upgrade;

/**
 * The stored layout version of the cluster.
 *
 * @param active the layout version that records are written in
 * @param floor  the lowest version that may become active again; it rises when a version is finalized
 */
public record ClusterVersion(int active, int floor) {

    /** The version if none is stored. */
    public static final ClusterVersion FIRST =
            new ClusterVersion(VersionRange.FIRST_VERSION, VersionRange.FIRST_VERSION);

    /** Returns whether no earlier version may become active again. */
    public boolean isFinal() {
        return floor == active;
    }

    ClusterVersion activated(int version) {
        return new ClusterVersion(version, floor);
    }

    ClusterVersion deactivated() {
        return new ClusterVersion(active - 1, floor);
    }

    ClusterVersion finalized() {
        return new ClusterVersion(active, active);
    }
}

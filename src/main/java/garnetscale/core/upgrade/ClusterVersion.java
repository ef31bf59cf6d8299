package garnetscale.core.upgrade;

/**
 * The cluster's layout version, as it is stored.
 *
 * @param active the layout version that records are written in
 * @param floor  the lowest version that may become active again; it rises when a version is finalized
 */
public record ClusterVersion(int active, int floor) {

    /** The version where none is stored. */
    public static final ClusterVersion FIRST =
            new ClusterVersion(VersionRange.FIRST_VERSION, VersionRange.FIRST_VERSION);

    /** Whether there is no way back to an earlier version. */
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

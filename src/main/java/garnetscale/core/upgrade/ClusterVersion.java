package garnetscale.core.upgrade;

/**
 * What is stored of the cluster's version.
 *
 * @param active the version that records are written by
 * @param floor  the lowest version that may become active again; it rises when a version is finalized
 */
public record ClusterVersion(int active, int floor) {

    /** Where nothing is stored. */
    public static final ClusterVersion FIRST =
            new ClusterVersion(VersionRange.FIRST_VERSION, VersionRange.FIRST_VERSION);

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

package garnetscale.core.upgrade;

/** The range of layout versions that a controller reads and writes, inclusive at both ends. */
public record VersionRange(int oldest, int latest) {

    /** The version that is active if none is stored, and the only one supported by controllers that publish no range. */
    public static final int FIRST_VERSION = 1;

    /** The range of controllers that publish no range. */
    public static final VersionRange FIRST = new VersionRange(FIRST_VERSION, FIRST_VERSION);

    /** Returns whether the version is within the range. */
    public boolean contains(int version) {
        return version >= oldest && version <= latest;
    }

    @Override
    public String toString() {
        return oldest + " to " + latest;
    }
}

package garnetscale.core.upgrade;

/** The layout versions that a controller reads and writes, both ends included. */
public record VersionRange(int oldest, int latest) {

    /** The version that is active where none is stored, and the only one of controllers that publish no range. */
    public static final int FIRST_VERSION = 1;

    /** The range of controllers that publish none. */
    public static final VersionRange FIRST = new VersionRange(FIRST_VERSION, FIRST_VERSION);

    /** Whether the version lies within the range. */
    public boolean contains(int version) {
        return version >= oldest && version <= latest;
    }

    @Override
    public String toString() {
        return oldest + " to " + latest;
    }
}

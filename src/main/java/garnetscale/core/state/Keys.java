package garnetscale.core.state;

/**
 * The names of stored keys. Everything that a controller replicates is under one prefix, so that one watch brings it all;
 * terminal jobs are outside it, so that a cold start reads only live state.
 */
public final class Keys {

    /** The prefix of all keys that controllers replicate. */
    public static final String REPLICATED = "g/";
    /** The leader; attached to its lease. */
    public static final String LEADER = "g/leader";
    /** The highest term that was given out. */
    public static final String TERM = "g/term";
    /** The machine types that the cloud offers. */
    public static final String TYPES = "g/types";
    /** The active version of the stored state; absent in the first version. */
    public static final String VERSION = "g/version";

    static final String JOB = "g/j/";
    /** Entries of the work log. They come before the snapshot in key order, and so in a listing: see {@link WorkLog}. */
    static final String LOG = "g/l/";

    static final String SNAPSHOT = "g/s/";
    static final String PARTITION = "g/b/";
    static final String NODE = "g/n/";
    private static final String TERMINAL_JOB = "a/";

    private Keys() {}

    /** The key of a job that isn't archived yet. */
    public static String job(String id) {
        return JOB + id;
    }

    /** The key under which a terminal job is kept for good. */
    public static String terminalJob(String id) {
        return TERMINAL_JOB + id;
    }

    /** The terminal job that a key belongs to, or null when it is another kind of key. */
    public static String terminalJobOfKey(String key) {
        return key.startsWith(TERMINAL_JOB) ? key.substring(TERMINAL_JOB.length()) : null;
    }

    /** The key of a partition's lease. */
    public static String partition(String partition) {
        return PARTITION + partition;
    }

    /** The key of a live controller; attached to its lease. */
    public static String controller(String name) {
        return NODE + name;
    }
}

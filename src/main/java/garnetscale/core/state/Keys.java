package garnetscale.core.state;

/**
 * Names of the keys. Everything that a node replicas lies under one prefix, so that one watch brings it all;
 * jobs that are over lie outside it, so that a cold start reads only what is alive.
 */
public final class Keys {

    public static final String MIRRORED = "g/";
    public static final String LEADER = "g/leader";
    public static final String TERM = "g/term";
    public static final String TYPES = "g/types";
    /** The version of what is stored that is active for the whole cluster; absent in the first. */
    public static final String VERSION = "g/version";

    static final String JOB = "g/j/";
    /** Entries of the work log. They come before the bases in key order, and so in a listing: see {@link WorkLog}. */
    static final String LOG = "g/l/";

    static final String SNAPSHOT = "g/s/";
    static final String PARTITION = "g/b/";
    static final String NODE = "g/n/";
    private static final String TERMINAL_JOB = "a/";

    private Keys() {}

    public static String job(String id) {
        return JOB + id;
    }

    /** Where a job that is over is kept for good. */
    public static String terminalJob(String id) {
        return TERMINAL_JOB + id;
    }

    /** The job whose end a key keeps, or null. */
    public static String terminalJobOfKey(String key) {
        return key.startsWith(TERMINAL_JOB) ? key.substring(TERMINAL_JOB.length()) : null;
    }

    public static String partition(String partition) {
        return PARTITION + partition;
    }

    public static String node(String name) {
        return NODE + name;
    }
}

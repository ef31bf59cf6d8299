package garnetscale.core.state;

/**
 * The keys in the state service. All keys that controllers replicate share one prefix, so that a single watch covers them.
 * Terminal jobs are outside that prefix, so that a cold start reads only live state.
 */
public final class Keys {

    /** The prefix of all keys that controllers replicate. */
    public static final String REPLICATED = "g/";
    /** The leader; deleted when the leader's lease expires. */
    public static final String LEADER = "g/leader";
    /** The highest leader term issued so far. */
    public static final String TERM = "g/term";
    /** The machine types that the cloud offers. */
    public static final String TYPES = "g/types";
    /** The active version of the stored state; absent in the first version. */
    public static final String VERSION = "g/version";

    static final String JOB = "g/j/";
    /** Prefix of work log entries. Sorts before {@link #SNAPSHOT}, so listings read entries first: see {@link WorkLog}. */
    static final String LOG = "g/l/";

    static final String SNAPSHOT = "g/s/";
    static final String PARTITION = "g/b/";
    static final String CONTROLLER = "g/n/";
    private static final String TERMINAL_JOB = "a/";

    private Keys() {}

    /** Returns the key of a live job, or of a terminal job that isn't archived yet. */
    public static String job(String id) {
        return JOB + id;
    }

    /** Returns the key under which the record of a terminal job is kept permanently. */
    public static String terminalJob(String id) {
        return TERMINAL_JOB + id;
    }

    /** Returns the id of the terminal job that a key belongs to, or null if the key isn't one of a terminal job. */
    public static String terminalJobOfKey(String key) {
        return key.startsWith(TERMINAL_JOB) ? key.substring(TERMINAL_JOB.length()) : null;
    }

    /** Returns the key of a partition's lease. */
    public static String partition(String partition) {
        return PARTITION + partition;
    }

    /** Returns the key of a live controller; deleted when the controller's lease expires. */
    public static String controller(String name) {
        return CONTROLLER + name;
    }
}

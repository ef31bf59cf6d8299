package garnetscale.core.job;

/**
 * A task of a job array.
 *
 * @param index the task's number in the job, from 0
 */
public record TaskId(String job, int index) {

    /** Maximum length of the slash and the index together. An index of at most seven digits can't overflow an int. */
    private static final int MAX_SUFFIX_LENGTH = 8;

    /** Parses the form {@code wk-000412/3}; returns null for any other text, since heartbeats come from outside. */
    public static TaskId parse(String text) {
        int slash = text.lastIndexOf('/');
        if (slash <= 0 || slash == text.length() - 1 || text.length() - slash > MAX_SUFFIX_LENGTH) {
            return null;
        }
        int index = 0;
        for (int i = slash + 1; i < text.length(); i++) {
            char digit = text.charAt(i);
            if (digit < '0' || digit > '9') {
                return null;
            }
            index = index * 10 + (digit - '0');
        }
        return new TaskId(text.substring(0, slash), index);
    }

    @Override
    public String toString() {
        return job + "/" + index;
    }

    /** Explicit because it is on the hot path: see {@link garnetscale.core}. */
    @Override
    public boolean equals(Object object) {
        return object instanceof TaskId other && job.equals(other.job) && index == other.index;
    }

    @Override
    public int hashCode() {
        return 31 * job.hashCode() + index;
    }
}

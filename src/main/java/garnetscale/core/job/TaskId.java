package garnetscale.core.job;

/** A task: the job it belongs to and its number there. */
public record TaskId(String job, int index) {

    /** Reads the form {@code wk-000412/3}; null for anything else, since reports come from outside. */
    public static TaskId parse(String text) {
        int slash = text.lastIndexOf('/');
        if (slash <= 0 || slash == text.length() - 1 || text.length() - slash > 8) {
            return null;
        }
        int index = 0;
        for (int i = slash + 1; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c < '0' || c > '9') {
                return null;
            }
            index = index * 10 + (c - '0');
        }
        return new TaskId(text.substring(0, slash), index);
    }

    @Override
    public String toString() {
        return job + "/" + index;
    }

    /** Explicit because it is on the hot path; see the package documentation of {@code garnetscale.core}. */
    @Override
    public boolean equals(Object o) {
        return o instanceof TaskId other && job.equals(other.job) && index == other.index;
    }

    @Override
    public int hashCode() {
        return 31 * job.hashCode() + index;
    }
}

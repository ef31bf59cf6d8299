package garnetscale.controller;

/**
 * How the state service's changes are shared between the leader and submissions. The leader makes room: what it writes
 * less often goes into larger transactions, while a submission that is refused comes a second late. It knows how many are
 * wanted from its replica, which shows every job that a node has accepted.
 */
final class WriteRateAllocator {

    /** The part of the limit that is used at all. */
    private static final double USED = 0.9;
    /** The parts that submissions and leader may have; together more than all, since they seldom want it at once. */
    private static final double SUBMISSIONS = 0.55;

    private static final double LEADER_LEAST = 0.45;
    private static final double LEADER_MOST = 0.75;
    /** What a node may take of its part of the submissions: users keep their connections and don't come evenly. */
    private static final double UNEVEN = 1.5;
    /** What the leader leaves, in multiples of what came lately. */
    private static final double AHEAD = 1.25;
    /** Submissions are counted over this time. */
    private static final long COUNTED_MS = 500;

    private static final double GAIN = 0.4;

    private final double all;
    private long countedAt;
    private long counted;
    private double submitted;
    private double last;

    WriteRateAllocator(double writesPerS) {
        all = writesPerS * USED;
    }

    /** Takes note of how many jobs have been accepted so far; true when the shares may have changed. */
    boolean observe(long now, long jobs) {
        long passed = now - countedAt;
        if (passed < COUNTED_MS) {
            return false;
        }
        last = 1000.0 * (jobs - counted) / passed;
        counted = jobs;
        countedAt = now;
        submitted += GAIN * (last - submitted);
        return true;
    }

    double leaderPerS() {
        return Math.min(LEADER_MOST * all, Math.max(LEADER_LEAST * all, all - AHEAD * Math.max(last, submitted)));
    }

    /** What a node may use for submissions, when so many are up: users come to those that are left. */
    double submissionsPerS(int nodes) {
        return all * SUBMISSIONS * UNEVEN / Math.max(1, nodes) + 1;
    }
}

package garnetscale.controller;

/**
 * Shares the state service's limit on changes between the leader and submissions. The leader makes room: what it writes less
 * often goes into larger transactions, while a submission that is refused comes a second late. It knows how many submissions
 * there are from its replica, which shows every job that any controller has accepted.
 */
final class WriteRateAllocator {

    /** The share of the limit that is used at all. */
    private static final double USED_SHARE = 0.9;
    /** What submissions and the leader may have of it; together more than all, since both seldom need it at once. */
    private static final double SUBMISSION_SHARE = 0.55;

    private static final double LEADER_MIN_SHARE = 0.45;
    private static final double LEADER_MAX_SHARE = 0.75;
    /** How much more than its even part a controller may submit: users keep their connections and don't come evenly. */
    private static final double UNEVENNESS = 1.5;
    /** What the leader leaves to submissions, in multiples of their recent rate. */
    private static final double RESERVED_MULTIPLE = 1.25;
    /** The rate of submissions is measured in intervals of this length. */
    private static final long MEASURED_MS = 500;
    /** Weight of the newest measurement in the average. */
    private static final double SMOOTHING = 0.4;

    private static final double MS_PER_S = 1000.0;

    private final double usablePerS;
    private long measuredAt;
    private long measuredJobs;
    private double averagePerS;
    private double lastPerS;

    /**
     * Shares out a limit.
     *
     * @param writesPerS the service's limit on changes in a second
     */
    WriteRateAllocator(double writesPerS) {
        usablePerS = writesPerS * USED_SHARE;
    }

    /** Takes note of how many jobs have been accepted so far; true when the rates may have changed. */
    boolean observe(long now, long jobs) {
        long passedMs = now - measuredAt;
        if (passedMs < MEASURED_MS) {
            return false;
        }
        lastPerS = MS_PER_S * (jobs - measuredJobs) / passedMs;
        measuredJobs = jobs;
        measuredAt = now;
        averagePerS += SMOOTHING * (lastPerS - averagePerS);
        return true;
    }

    /** How many changes the leader may make in a second. */
    double leaderPerS() {
        double left = usablePerS - RESERVED_MULTIPLE * Math.max(lastPerS, averagePerS);
        return Math.min(LEADER_MAX_SHARE * usablePerS, Math.max(LEADER_MIN_SHARE * usablePerS, left));
    }

    /** How many changes a controller may make in a second for submissions, when so many of them are live. */
    double submissionsPerS(int controllers) {
        return usablePerS * SUBMISSION_SHARE * UNEVENNESS / Math.max(1, controllers) + 1;
    }
}

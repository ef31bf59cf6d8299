package garnetscale.controller;

/**
 * Divides the state service's limit on writes between the leader and submissions. The leader yields to submissions: when it
 * writes less often its transactions are larger, while a submission that is refused is delayed by a second. The rate of
 * submissions is known from the replica, which contains every job that any controller has accepted.
 */
final class WriteRateAllocator {

    /** Share of the limit that the leader and submissions may use together. */
    private static final double USED_SHARE = 0.9;
    /** Shares of submissions and of the leader in the usable rate. Their sum may exceed 1: both seldom need theirs at once. */
    private static final double SUBMISSION_SHARE = 0.55;

    private static final double LEADER_MIN_SHARE = 0.45;
    private static final double LEADER_MAX_SHARE = 0.75;
    /** Factor on a controller's even share of submissions: users keep their connections, so the load isn't even. */
    private static final double IMBALANCE_FACTOR = 1.5;
    /** Rate that the leader leaves to submissions, as a multiple of their recent rate. */
    private static final double RESERVED_MULTIPLE = 1.25;
    /** Minimum interval over which the rate of submissions is measured. */
    private static final long MEASUREMENT_INTERVAL_MS = 500;
    /** Weight of the newest measurement in the moving average. */
    private static final double SMOOTHING = 0.4;

    private static final double MS_PER_S = 1000.0;

    private final double usablePerS;
    private long measuredAt;
    private long measuredJobs;
    private double averagePerS;
    private double lastPerS;

    /**
     * Creates an allocator for a limit.
     *
     * @param writesPerS the service's limit on writes, in operations per second
     */
    WriteRateAllocator(double writesPerS) {
        usablePerS = writesPerS * USED_SHARE;
    }

    /**
     * Measures the rate of submissions.
     *
     * @param now  milliseconds of the steady clock
     * @param jobs how many jobs all controllers have accepted so far
     * @return whether the rates may have changed
     */
    boolean observe(long now, long jobs) {
        long passedMs = now - measuredAt;
        if (passedMs < MEASUREMENT_INTERVAL_MS) {
            return false;
        }
        lastPerS = MS_PER_S * (jobs - measuredJobs) / passedMs;
        measuredJobs = jobs;
        measuredAt = now;
        averagePerS += SMOOTHING * (lastPerS - averagePerS);
        return true;
    }

    /** Returns the leader's limit on writes, in operations per second. */
    double leaderPerS() {
        double left = usablePerS - RESERVED_MULTIPLE * Math.max(lastPerS, averagePerS);
        return Math.min(LEADER_MAX_SHARE * usablePerS, Math.max(LEADER_MIN_SHARE * usablePerS, left));
    }

    /**
     * Returns one controller's limit on writes for submissions, in operations per second.
     *
     * @param controllers how many controllers are live
     */
    double submissionsPerS(int controllers) {
        return usablePerS * SUBMISSION_SHARE * IMBALANCE_FACTOR / Math.max(1, controllers) + 1;
    }
}

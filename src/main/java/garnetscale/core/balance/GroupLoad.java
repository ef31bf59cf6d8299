package garnetscale.core.balance;

/**
 * A group's totals and its smoothed utilization, an exponential moving average. Utilization is constant between two changes, so
 * the average at any time follows exactly from the average at the last change.
 *
 * @param totals the totals since the last change
 * @param smoothedAtChange the average at the time of the last change
 * @param changedAt the time of the last change, in milliseconds
 */
public record GroupLoad(GroupTotals totals, double smoothedAtChange, long changedAt) {

    /** Returns the smoothed utilization at the time {@code now}; the time constant of the average is in milliseconds. */
    double smoothed(long now, double timeConstantMs) {
        double utilization = totals.utilization();
        double weight = Math.exp(-Math.max(0, now - changedAt) / timeConstantMs);
        return utilization + (smoothedAtChange - utilization) * weight;
    }

    /** Returns the load from {@code now} on, with new totals. */
    GroupLoad withTotals(long now, GroupTotals next, double timeConstantMs) {
        return new GroupLoad(next, smoothed(now, timeConstantMs), now);
    }
}

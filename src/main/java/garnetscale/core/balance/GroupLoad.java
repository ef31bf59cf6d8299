package garnetscale.core.balance;

/**
 * A group's totals and its smoothed utilization. Between two changes the utilization is constant, so that its exponential
 * moving average at any time follows exactly from the average at the last change.
 *
 * @param totals        the totals since the last change
 * @param smoothedThen  the average at the time of the last change
 * @param changedAt     when the totals last changed, in milliseconds
 */
public record GroupLoad(GroupTotals totals, double smoothedThen, long changedAt) {

    /** The smoothed utilization at a later time, with the average's time constant in milliseconds. */
    double smoothed(long now, double timeConstantMs) {
        double utilization = totals.utilization();
        double weight = Math.exp(-Math.max(0, now - changedAt) / timeConstantMs);
        return utilization + (smoothedThen - utilization) * weight;
    }

    /** The load from {@code now} on, with other totals. */
    GroupLoad withTotals(long now, GroupTotals next, double timeConstantMs) {
        return new GroupLoad(next, smoothed(now, timeConstantMs), now);
    }
}

package garnetscale.core.bidding;

/**
 * The paper's late bids (DSP step 4c): bids for tasks that are running on another machine. The late bidder takes the task over
 * if the improvement i = 1 - (tL - t) / (tE - t) exceeds the threshold i0, where t is the current time, tE the estimated finish
 * on the machine that runs the task, and tL the estimated finish on the late bidder.
 */
public final class LateBids {

    /**
     * The threshold i0. The paper finds the optimal i0 between 0.4 and 0.6. The lower end is used, since this scheduler revises
     * estimates while a task runs.
     */
    public static final double MIN_IMPROVEMENT = 0.4;

    private LateBids() {}

    /**
     * Returns the improvement i; 0 if {@code earlierS} isn't positive.
     *
     * @param earlierS estimated seconds until the task finishes on the machine that it runs on, the earlier bidder (tE - t)
     * @param laterS estimated seconds until the task would finish on the late bidder (tL - t)
     */
    public static double improvement(double earlierS, double laterS) {
        return earlierS <= 0 ? 0 : 1 - laterS / earlierS;
    }

    /** Returns whether the late bid wins; the parameters are those of {@link #improvement}. */
    public static boolean accepts(double earlierS, double laterS) {
        return improvement(earlierS, laterS) > MIN_IMPROVEMENT;
    }
}

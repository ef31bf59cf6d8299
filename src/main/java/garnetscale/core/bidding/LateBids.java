package garnetscale.core.bidding;

/**
 * The paper's late bid (DSP step 4c): a machine that could finish a task much earlier than the one that it runs on takes it
 * over, if the improvement i = 1 - (tL - t) / (tE - t) exceeds the threshold i0.
 */
public final class LateBids {

    /**
     * The threshold i0. The paper finds its optimum between 0.4 and 0.6; estimates are revised here while a task runs, so the
     * lower end.
     */
    public static final double MIN_IMPROVEMENT = 0.4;

    private LateBids() {}

    /**
     * The improvement i.
     *
     * @param earlierS seconds that the machine of the earlier bid, on which the task runs, would still take (tE - t)
     * @param laterS seconds that the machine of the late bid would take (tL - t)
     */
    public static double improvement(double earlierS, double laterS) {
        return earlierS <= 0 ? 0 : 1 - laterS / earlierS;
    }

    /** Whether the late bid wins; parameters as of {@link #improvement}. */
    public static boolean accepts(double earlierS, double laterS) {
        return improvement(earlierS, laterS) > MIN_IMPROVEMENT;
    }
}

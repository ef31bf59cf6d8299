package garnetscale.core.bidding;

/**
 * The paper's late bid: a machine that could finish a task much earlier than the one that it runs on takes it
 * over, if the improvement i = 1 - (tL - t) / (tE - t) exceeds i0.
 */
public final class LateBids {

    /** The paper finds its optimum between 0.4 and 0.6; estimates are revised here while a task runs, so the lower. */
    public static final double I0 = 0.4;

    private LateBids() {}

    /** The improvement, from the seconds that each of the two would still take. */
    public static double improvement(double earlierS, double laterS) {
        return earlierS <= 0 ? 0 : 1 - laterS / earlierS;
    }

    public static boolean accepts(double earlierS, double laterS) {
        return improvement(earlierS, laterS) > I0;
    }
}

package garnetscale.core.bidding;

/** Machines of one type and zone that are alike spot instances or not, with what they have in common for one job. */
final class BidderGroup {

    /** Whether the job is in their queue. */
    boolean mayRunJob;
    /** Seconds that they take to fetch the job's image. */
    double fetchS;
}

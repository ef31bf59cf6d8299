package garnetscale.core.bidding;

/**
 * The machines of one type and zone that are all spot instances or all on demand. Holds what is the same for all of them with
 * respect to the job that {@link Bidding} is processing.
 */
final class BidderGroup {

    /** Whether these machines may bid for the job. */
    boolean mayBid;
    /** Seconds that one of these machines takes to fetch the job's image. */
    double fetchS;
}

package garnetscale.core.bid;

/**
 * A machine's offer to run up to {@code slots} tasks of a job that stands in its line.
 *
 * @param finishS estimated seconds from now until such a task would be finished: image fetch and run
 */
public record Bid(String machine, long shift, String job, int slots, double finishS) {
}

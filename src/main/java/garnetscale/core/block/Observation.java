package garnetscale.core.block;

import garnetscale.core.machine.ReportedTask;
import java.util.List;

/**
 * What a holder tells the leader of one machine.
 *
 * @param term   the block term that the holder speaks by; the leader drops what comes from an older one
 * @param silent no report for a while, so the machine neither bids nor counts as room
 * @param gone   attempts that the holder has proof of that they are not on the machine and never will be
 */
public record Observation(String node, long incarnation, String block, long term, String machine, String address,
                          String type, String zone, boolean spot, long shift, Double noticeS, boolean silent,
                          List<ReportedTask> tasks, List<Long> gone) {
}

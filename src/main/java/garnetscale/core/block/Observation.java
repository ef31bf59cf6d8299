package garnetscale.core.block;

import garnetscale.core.machine.ReportedTask;
import java.util.List;
import java.util.Objects;

/**
 * What a holder tells the leader of one machine.
 *
 * @param term   the block term that the holder speaks by; the leader drops what comes from an older one
 * @param silent no report for a while, so the machine neither bids nor counts as room
 * @param gone   attempts that the holder has proof of that they are not on the machine and never will be
 */
public record Observation(
        String node,
        long incarnation,
        String block,
        long term,
        String machine,
        String address,
        String type,
        String zone,
        boolean spot,
        long shift,
        Double noticeS,
        boolean silent,
        List<ReportedTask> tasks,
        List<Long> gone) {

    /** Explicit because it is on the hot path; see the package documentation of {@code garnetscale.core}. */
    @Override
    public boolean equals(Object o) {
        return o instanceof Observation other
                && incarnation == other.incarnation
                && term == other.term
                && shift == other.shift
                && spot == other.spot
                && silent == other.silent
                && machine.equals(other.machine)
                && node.equals(other.node)
                && block.equals(other.block)
                && address.equals(other.address)
                && type.equals(other.type)
                && zone.equals(other.zone)
                && Objects.equals(noticeS, other.noticeS)
                && tasks.equals(other.tasks)
                && gone.equals(other.gone);
    }

    @Override
    public int hashCode() {
        return 31 * machine.hashCode() + Long.hashCode(shift);
    }
}

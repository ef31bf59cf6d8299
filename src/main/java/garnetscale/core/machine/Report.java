package garnetscale.core.machine;

import java.util.List;
import java.util.Objects;

/** What a worker says of itself; {@code noticeS} is null unless the cloud is about to take the machine. */
public record Report(
        String machine,
        String address,
        String type,
        String zone,
        boolean spot,
        long shift,
        long tick,
        long token,
        Double noticeS,
        List<ReportedTask> tasks) {

    /** Messages overtake each other; the larger (shift, tick) is the newer one. */
    public boolean isNewerThan(Report other) {
        return other == null || shift > other.shift || (shift == other.shift && tick > other.tick);
    }

    /** Whether nothing but the count of messages and the token differs. */
    public boolean saysTheSame(Report other) {
        return shift == other.shift
                && spot == other.spot
                && machine.equals(other.machine)
                && address.equals(other.address)
                && type.equals(other.type)
                && zone.equals(other.zone)
                && Objects.equals(noticeS, other.noticeS)
                && tasks.equals(other.tasks);
    }

    public ReportedTask find(long attempt) {
        for (ReportedTask t : tasks) {
            if (t.attempt() == attempt) {
                return t;
            }
        }
        return null;
    }
}

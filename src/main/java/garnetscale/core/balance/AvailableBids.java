package garnetscale.core.balance;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/** The bids for running tasks that may move, less the slots that moves planned in this pass have reserved. */
final class AvailableBids {

    private final Map<String, List<DestinationBid>> byJob;
    private final Map<DestinationBid, Integer> reservedSlots = new HashMap<>();

    AvailableBids(Map<String, List<DestinationBid>> byJob) {
        this.byJob = byJob;
    }

    /** The accepted bid with the earliest finish that has a slot left, the first of equals; null where there is none. */
    DestinationBid best(String job, Predicate<DestinationBid> isAccepted) {
        DestinationBid best = null;
        for (DestinationBid bid : byJob.getOrDefault(job, List.of())) {
            if ((best == null || bid.finishS() < best.finishS()) && hasSlot(bid) && isAccepted.test(bid)) {
                best = bid;
            }
        }
        return best;
    }

    private boolean hasSlot(DestinationBid bid) {
        return bid.slots() > reservedSlots.getOrDefault(bid, 0);
    }

    void reserve(DestinationBid bid) {
        reservedSlots.merge(bid, 1, Integer::sum);
    }

    void release(DestinationBid bid) {
        reservedSlots.merge(bid, -1, Integer::sum);
    }
}

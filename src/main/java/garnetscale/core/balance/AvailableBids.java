package garnetscale.core.balance;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/** Bids for running tasks that may be moved, less the slots that the moves planned in this pass have reserved. */
final class AvailableBids {

    private final Map<String, List<DestinationBid>> byJob;
    private final Map<DestinationBid, Integer> reservedSlots = new HashMap<>();

    AvailableBids(Map<String, List<DestinationBid>> byJob) {
        this.byJob = byJob;
    }

    /** Returns the accepted bid with a slot left that has the earliest finish, the first among equals; null if there is none. */
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

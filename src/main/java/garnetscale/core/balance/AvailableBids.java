package garnetscale.core.balance;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/** The bids for running tasks that may move, less the slots that moves planned in this pass have reserved. */
final class AvailableBids {

    private final Map<String, List<Offer>> byJob;
    private final Map<Offer, Integer> reservedSlots = new HashMap<>();

    AvailableBids(Map<String, List<Offer>> byJob) {
        this.byJob = byJob;
    }

    /** The accepted bid with the earliest finish that has a slot left, the first of equals; null where there is none. */
    Offer best(String job, Predicate<Offer> isAccepted) {
        Offer best = null;
        for (Offer bid : byJob.getOrDefault(job, List.of())) {
            if ((best == null || bid.finishS() < best.finishS()) && hasSlot(bid) && isAccepted.test(bid)) {
                best = bid;
            }
        }
        return best;
    }

    private boolean hasSlot(Offer bid) {
        return bid.slots() > reservedSlots.getOrDefault(bid, 0);
    }

    void reserve(Offer bid) {
        reservedSlots.merge(bid, 1, Integer::sum);
    }

    void release(Offer bid) {
        reservedSlots.merge(bid, -1, Integer::sum);
    }
}

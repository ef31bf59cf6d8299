package garnetscale.core.balance;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/** The offers for tasks that may move, less what this pass has already counted on. */
final class OpenOffers {

    private final Map<String, List<Offer>> byJob;
    private final Map<Offer, Integer> taken = new HashMap<>();

    OpenOffers(Map<String, List<Offer>> byJob) {
        this.byJob = byJob;
    }

    /** The offer with the earliest finish that passes and has room left, or null; the first of equals. */
    Offer best(String job, Predicate<Offer> passes) {
        Offer best = null;
        for (Offer offer : byJob.getOrDefault(job, List.of())) {
            if ((best == null || offer.finishS() < best.finishS()) && hasRoom(offer) && passes.test(offer)) {
                best = offer;
            }
        }
        return best;
    }

    private boolean hasRoom(Offer offer) {
        return offer.slots() > taken.getOrDefault(offer, 0);
    }

    void take(Offer offer) {
        taken.merge(offer, 1, Integer::sum);
    }

    void giveBack(Offer offer) {
        taken.merge(offer, -1, Integer::sum);
    }
}

package garnetscale.core.bid;

import garnetscale.core.job.JobSpec;
import garnetscale.core.line.Line;
import garnetscale.core.line.Scarcity;
import garnetscale.core.machine.MachineType;
import garnetscale.core.machine.Room;
import garnetscale.core.store.JobView;
import garnetscale.core.store.Mirror;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * What the machines of one holder bid, each for the jobs at the head of its line. Machines of one type, zone and kind
 * have the same line, so it is gone through once for all of them. For each job only about as many of the best bids
 * are made as could win: the leader has no use for more from one holder. What a machine would give to the jobs before
 * counts as taken, so that the jobs behind find bids of machines that will still have room.
 */
public final class Bidding {

    /** A machine that may bid, and what is free on it. */
    public static final class Bidder {
        private final String machine;
        private final long shift;
        private final MachineType type;
        private final String zone;
        private final boolean spot;
        private final Room whole;
        private final Room left;
        private int heads;
        private JobView last;

        public Bidder(String machine, long shift, MachineType type, String zone, boolean spot, Room room) {
            this.machine = machine;
            this.shift = shift;
            this.type = type;
            this.zone = zone;
            this.spot = spot;
            this.whole = room;
            this.left = room.copy();
        }
    }

    private record Offer(Bidder bidder, int slots, double finishS) {
    }

    /** Jobs of a line that a machine bids for at a time; more than enough to fill it between two sheets. */
    private static final int HEADS = 8;

    /**
     * Room is offered to jobs behind those that it would go to, this many times over: some of them may get more from other
     * holders, or may not start for a reason that the leader knows. Without a bound a room that is kept free would be
     * offered to all that wait, again and again.
     */
    private static final double OVERBOOKED = 3;

    private double overbooked;
    private final Mirror mirror;
    private final Estimator estimator;
    private final Scarcity scarcity;
    private final long wallMs;

    public Bidding(Mirror mirror, Estimator estimator, Scarcity scarcity, long wallMs) {
        this.mirror = mirror;
        this.estimator = estimator;
        this.scarcity = scarcity;
        this.wallMs = wallMs;
    }

    /** Bids for the waiting jobs, which come in line order. */
    public List<Bid> bids(List<JobView> waiting, List<Bidder> bidders) {
        List<Bid> bids = new ArrayList<>();
        List<Bidder> open = new ArrayList<>(bidders);
        double room = bidders.stream().mapToDouble(b -> b.whole.cpus()).sum();
        for (JobView job : waiting) {
            if (open.isEmpty() || overbooked > OVERBOOKED * room) {
                break;
            }
            int tasks = job.unstarted() == 0 ? job.placedCount() : job.unstarted();
            // Some more than can win: the leader may know what is wrong with a machine that bids.
            int wanted = tasks + tasks / 2 + 1;
            int missing = bid(job, tasks, wanted, open, false, bids);
            if (missing > 0) {
                bid(job, tasks, missing, open, true, bids);
            }
            open.removeIf(b -> b.heads >= HEADS);
        }
        return bids;
    }

    /** Bids with what is left behind the jobs before, or with what they may not get after all. */
    private int bid(JobView job, int tasks, int wanted, List<Bidder> open, boolean taken, List<Bid> bids) {
        JobSpec spec = job.spec();
        List<Offer> offers = new ArrayList<>();
        for (Bidder b : open) {
            Room room = taken ? b.whole : b.left;
            int slots = b.last == job || room.cpus() + MachineType.EPSILON < spec.cpus() ? 0 : room.slots(spec);
            if (slots > 0 && Line.allows(b.type, b.zone, b.spot, spec) && scarcity.mayTake(job, b.type, wallMs)) {
                double fetch = mirror.images(b.machine).containsKey(spec.image()) ? 0 : Estimator.fetchS(spec, b.type);
                double run = estimator.runS(spec, b.machine);
                double finish = fetch + run + (b.spot ? Estimator.spotRiskS(spec, run) : 0);
                // Tenths of a second, so that a sheet changes only when something has.
                offers.add(new Offer(b, slots, Math.round(finish * 10) / 10.0));
            }
        }
        offers.sort(Comparator.comparingDouble(Offer::finishS));
        int missing = wanted;
        for (Offer o : offers) {
            if (missing <= 0) {
                break;
            }
            Bidder b = o.bidder();
            int slots = Math.min(o.slots(), tasks);
            bids.add(new Bid(b.machine, b.shift, spec.id(), slots, o.finishS()));
            b.heads++;
            b.last = job;
            if (taken) {
                overbooked += slots * spec.cpus();
            } else {
                b.left.take(spec, Math.min(slots, missing));
            }
            missing -= slots;
        }
        return missing;
    }
}

package garnetscale.core.bidding;

import garnetscale.core.job.JobSpec;
import garnetscale.core.machine.FreeCapacity;
import garnetscale.core.machine.MachineType;
import garnetscale.core.queue.JobQueue;
import garnetscale.core.queue.ScarceTypeFilter;
import garnetscale.core.state.JobView;
import garnetscale.core.state.StateReplica;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

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
        private final long agentEpoch;
        private final MachineType type;
        private final String zone;
        private final boolean spot;
        private final FreeCapacity whole;
        private final FreeCapacity left;
        private Kind kind;
        private Map<String, Double> images;
        private double factor;
        private int heads;
        private JobView last;

        public Bidder(String machine, long agentEpoch, MachineType type, String zone, boolean spot, FreeCapacity room) {
            this.machine = machine;
            this.agentEpoch = agentEpoch;
            this.type = type;
            this.zone = zone;
            this.spot = spot;
            this.whole = room;
            this.left = room.copy();
        }
    }

    /** Machines of one type, zone and kind: whether the job at hand stands in their line, and what it takes there. */
    private static final class Kind {
        boolean inLine;
        double fetchS;
    }

    /** Jobs of a line that a machine bids for at a time; more than enough to fill it between two batches. */
    private static final int HEADS = 8;

    /**
     * Room is offered to jobs behind those that it would go to, this many times over: some of them may get more from other
     * holders, or may not start for a reason that the leader knows. Without a bound a room that is kept free would be
     * offered to all that wait, again and again. Room that no job before would get is offered beyond it, or many jobs of
     * which small machines are full would keep large ones from bidding for those that fit nothing else.
     */
    private static final double OVERBOOKED = 1;

    private static final int PLACE_BITS = 24;

    private double overbooked;
    private final StateReplica replica;
    private final Estimator estimator;
    private final ScarceTypeFilter scarcity;
    private final long wallMs;
    private final Set<String> suspects;
    private final Map<List<Object>, Kind> kinds = new HashMap<>();
    /** One bidder of each kind. */
    private final List<Bidder> samples = new ArrayList<>();

    /** {@code suspects}: jobs that fail wherever they run, of which a task at a time is tried. */
    public Bidding(
            StateReplica replica, Estimator estimator, ScarceTypeFilter scarcity, long wallMs, Set<String> suspects) {
        this.suspects = suspects;
        this.replica = replica;
        this.estimator = estimator;
        this.scarcity = scarcity;
        this.wallMs = wallMs;
    }

    /** Bids for the waiting jobs, which come in line order. */
    public List<Bid> bids(List<JobView> waiting, List<Bidder> bidders) {
        List<Bid> bids = new ArrayList<>();
        Bidder[] open = bidders.toArray(new Bidder[0]);
        int count = open.length;
        double room = 0;
        for (Bidder b : open) {
            room += b.whole.cpus();
            b.kind = kinds.computeIfAbsent(List.of(b.type.name(), b.zone, b.spot), k -> {
                samples.add(b);
                return new Kind();
            });
            b.images = replica.images(b.machine);
            b.factor = estimator.machineFactor(b.machine);
        }
        long[] offers = new long[count];
        double least = waiting.stream().mapToDouble(j -> j.spec().cpus()).min().orElse(0);
        for (JobView job : waiting) {
            if (count == 0) {
                break;
            }
            lookAt(job);
            int tasks =
                    suspects.contains(job.spec().id()) ? 1 : job.unstarted() == 0 ? job.placedCount() : job.unstarted();
            // Some more than can win: the leader may know what is wrong with a machine that bids.
            int wanted = tasks + tasks / 2 + 1;
            int missing = bid(job, tasks, wanted, open, count, offers, false, bids);
            if (missing > 0 && overbooked <= OVERBOOKED * room) {
                bid(job, tasks, missing, open, count, offers, true, bids);
            }
            double enough = overbooked <= OVERBOOKED * room ? 0 : least;
            int kept = 0;
            for (int i = 0; i < count; i++) {
                if (open[i].heads < HEADS && open[i].left.cpus() + MachineType.EPSILON >= enough) {
                    open[kept++] = open[i];
                }
            }
            count = kept;
        }
        return bids;
    }

    /** Goes through the lines of all kinds of machines, once each. */
    private void lookAt(JobView job) {
        for (Bidder b : samples) {
            b.kind.inLine =
                    JobQueue.allows(b.type, b.zone, b.spot, job.spec()) && scarcity.mayTake(job, b.type, wallMs);
            b.kind.fetchS = Estimator.fetchS(job.spec(), b.type);
        }
    }

    /**
     * Bids with what is left behind the jobs before, or with what they may not get after all; {@code offers} is scratch
     * room. An offer is its finish in tenths of a second, so that a batch changes only when something has, and the
     * bidder's place: as one number each they are sorted without an object for every one.
     */
    private int bid(
            JobView job,
            int tasks,
            int wanted,
            Bidder[] open,
            int count,
            long[] offers,
            boolean taken,
            List<Bid> bids) {
        JobSpec spec = job.spec();
        int found = 0;
        for (int i = 0; i < count; i++) {
            Bidder b = open[i];
            FreeCapacity room = taken ? b.whole : b.left;
            if (b.kind.inLine && b.last != job && room.cpus() + MachineType.EPSILON >= spec.cpus() && room.fits(spec)) {
                double run = estimator.runS(spec, b.factor);
                double finish = (b.images.containsKey(spec.image()) ? 0 : b.kind.fetchS)
                        + run
                        + (b.spot ? Estimator.spotRiskS(spec, run) : 0);
                offers[found++] = Math.round(finish * 10) << PLACE_BITS | i;
            }
        }
        Arrays.sort(offers, 0, found);
        int missing = wanted;
        for (int i = 0; i < found && missing > 0; i++) {
            Bidder b = open[(int) (offers[i] & (1 << PLACE_BITS) - 1)];
            int slots = Math.min((taken ? b.whole : b.left).slots(spec), tasks);
            bids.add(new Bid(b.machine, b.agentEpoch, spec.id(), slots, (offers[i] >> PLACE_BITS) / 10.0));
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

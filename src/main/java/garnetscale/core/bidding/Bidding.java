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
 * Makes the bids of one partition owner's machines, each for the jobs at the head of its queue (paper, DSP step 3). Machines
 * of one {@link BidderGroup} have the same queue, so it is gone through once for all of them. For each job only about as many
 * of the best bids are made as could win: the leader has no use for more from one owner. What a machine would give to the jobs
 * before counts as taken, so that the jobs behind find bids of machines that will still have capacity.
 *
 * <p>An instance makes one batch. It goes through thousands of machines for hundreds of jobs, so it allocates per batch and
 * per bid, not per candidate.
 */
public final class Bidding {

    /** Jobs that a machine bids for in a batch; more than enough to fill it between two batches. */
    private static final int MAX_JOBS_PER_BIDDER = 8;

    /**
     * Capacity is offered to jobs behind those that it would go to, this many times over: some of them may get more from other
     * owners, or may not start for a reason that the leader knows. Without a bound capacity that is kept free would be offered
     * to all that wait, again and again. Capacity that no job before would get is offered beyond it, or many jobs of which
     * small machines are full would keep large ones from bidding for those that fit nothing else.
     */
    private static final double MAX_OVERBOOKING = 1;

    /** Bits of a candidate that hold the index of its bidder. */
    private static final int INDEX_BITS = 24;

    private static final int INDEX_MASK = (1 << INDEX_BITS) - 1;

    private final StateReplica replica;
    private final Estimator estimator;
    private final ScarceTypeFilter scarceTypes;
    private final long wallClockMs;
    private final Set<String> suspectJobs;
    private final Map<List<Object>, BidderGroup> groups = new HashMap<>();
    /** One bidder of each group. */
    private final List<Bidder> representatives = new ArrayList<>();

    private final List<Bid> bids = new ArrayList<>();
    /** The first {@link #openCount} are the bidders that bid for further jobs. */
    private Bidder[] open;

    private int openCount;
    /** Scratch space for {@link #collectCandidates}. */
    private long[] candidates;
    /** CPUs free on all bidders, and those that were offered a second time. */
    private double freeCpus;

    private double overbookedCpus;

    /**
     * Prepares a batch.
     *
     * @param wallClockMs the time of day
     * @param suspectJobs jobs that fail wherever they run, of which one task at a time is tried
     */
    public Bidding(
            StateReplica replica,
            Estimator estimator,
            ScarceTypeFilter scarceTypes,
            long wallClockMs,
            Set<String> suspectJobs) {
        this.replica = replica;
        this.estimator = estimator;
        this.scarceTypes = scarceTypes;
        this.wallClockMs = wallClockMs;
        this.suspectJobs = suspectJobs;
    }

    /** Bids for the waiting jobs, which come in queue order; to be called once. */
    public List<Bid> bids(List<JobView> waiting, List<Bidder> bidders) {
        open(bidders);
        double minCpus =
                waiting.stream().mapToDouble(job -> job.spec().cpus()).min().orElse(0);
        for (JobView job : waiting) {
            if (openCount == 0) {
                break;
            }
            updateGroups(job);
            bidFor(job);
            close(isOverbookingAllowed() ? 0 : minCpus);
        }
        return bids;
    }

    private void open(List<Bidder> bidders) {
        open = bidders.toArray(new Bidder[0]);
        openCount = open.length;
        candidates = new long[openCount];
        for (Bidder bidder : open) {
            freeCpus += bidder.free.cpus();
            // A list as key, not a record, whose hash would be linked at start-up; see the package garnetscale.core.
            bidder.group = groups.computeIfAbsent(List.of(bidder.type.name(), bidder.zone, bidder.spot), key -> {
                representatives.add(bidder);
                return new BidderGroup();
            });
            bidder.images = replica.images(bidder.machine);
            bidder.speedFactor = estimator.machineFactor(bidder.machine);
        }
    }

    private void updateGroups(JobView job) {
        for (Bidder bidder : representatives) {
            bidder.group.mayRunJob = JobQueue.allows(bidder.type, bidder.zone, bidder.spot, job.spec())
                    && scarceTypes.mayBid(job, bidder.type, wallClockMs);
            bidder.group.fetchS = Estimator.fetchS(job.spec(), bidder.type);
        }
    }

    private void bidFor(JobView job) {
        int tasks = tasksToBidFor(job);
        // Some more than can win: the leader may know what is wrong with a machine that bids.
        int wantedSlots = tasks + tasks / 2 + 1;
        int missingSlots = bid(job, tasks, wantedSlots, false);
        if (missingSlots > 0 && isOverbookingAllowed()) {
            bid(job, tasks, missingSlots, true);
        }
    }

    private int tasksToBidFor(JobView job) {
        if (suspectJobs.contains(job.spec().id())) {
            return 1;
        }
        return job.unstartedCount() == 0 ? job.placedCount() : job.unstartedCount();
    }

    private boolean isOverbookingAllowed() {
        return overbookedCpus <= MAX_OVERBOOKING * freeCpus;
    }

    /** Closes bidders that have bid for enough jobs or have less than the given CPUs left. */
    private void close(double minCpus) {
        int kept = 0;
        for (int i = 0; i < openCount; i++) {
            Bidder bidder = open[i];
            if (bidder.jobs < MAX_JOBS_PER_BIDDER && bidder.unbid.cpus() + MachineType.EPSILON >= minCpus) {
                open[kept++] = bidder;
            }
        }
        openCount = kept;
    }

    /**
     * Bids for a job with what the bids for the jobs before leave, or, if overbooking, also with what those may not get after
     * all.
     *
     * @param tasks tasks of the job that could start
     * @param wantedSlots slots to bid with
     * @return slots that are missing from that; not positive if none is
     */
    private int bid(JobView job, int tasks, int wantedSlots, boolean isOverbooking) {
        JobSpec spec = job.spec();
        int found = collectCandidates(job, isOverbooking);
        Arrays.sort(candidates, 0, found);
        int missing = wantedSlots;
        for (int i = 0; i < found && missing > 0; i++) {
            Bidder bidder = open[(int) (candidates[i] & INDEX_MASK)];
            int slots = Math.min((isOverbooking ? bidder.free : bidder.unbid).slots(spec), tasks);
            double finishS = (candidates[i] >> INDEX_BITS) / 10.0;
            bids.add(new Bid(bidder.machine, bidder.agentEpoch, spec.id(), slots, finishS));
            bidder.jobs++;
            bidder.lastJob = job;
            if (isOverbooking) {
                overbookedCpus += slots * spec.cpus();
            } else {
                bidder.unbid.take(spec, Math.min(slots, missing));
            }
            missing -= slots;
        }
        return missing;
    }

    /**
     * Puts the bidders that could bid for the job into {@link #candidates} and returns their number. A candidate is its finish
     * in tenths of a second, so that a batch changes only when something has, and the bidder's index: as one number each they
     * are sorted without an object for every one.
     */
    private int collectCandidates(JobView job, boolean isOverbooking) {
        JobSpec spec = job.spec();
        int found = 0;
        for (int i = 0; i < openCount; i++) {
            Bidder bidder = open[i];
            FreeCapacity free = isOverbooking ? bidder.free : bidder.unbid;
            if (bidder.group.mayRunJob
                    && bidder.lastJob != job
                    && free.cpus() + MachineType.EPSILON >= spec.cpus()
                    && free.fits(spec)) {
                candidates[found++] = Math.round(finishS(spec, bidder) * 10) << INDEX_BITS | i;
            }
        }
        return found;
    }

    private double finishS(JobSpec spec, Bidder bidder) {
        double runS = estimator.runTimeS(spec, bidder.speedFactor);
        return (bidder.images.containsKey(spec.image()) ? 0 : bidder.group.fetchS)
                + runS
                + (bidder.spot ? Estimator.spotRiskS(spec, runS) : 0);
    }
}

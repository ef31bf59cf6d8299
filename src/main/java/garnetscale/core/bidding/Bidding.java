package garnetscale.core.bidding;

import garnetscale.core.job.JobSpec;
import garnetscale.core.machine.FreeCapacity;
import garnetscale.core.machine.MachineType;
import garnetscale.core.queue.JobQueue;
import garnetscale.core.queue.PlacedZones;
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
 * Makes the bids of one partition owner's machines. Each machine bids for the jobs at the head of its queue (paper, DSP step 3).
 * The machines of one {@link BidderGroup} have the same queue, so it is evaluated once per group. For each job, only the best
 * bids are made, with slots for about one and a half times the tasks that could start: the leader may reject some of the bids,
 * but has no use for more from one owner. Capacity that a machine offers to a job counts as taken for the later jobs in the
 * queue, so that these get bids from machines that will still have capacity.
 *
 * <p>An instance makes one batch. It evaluates thousands of machines for hundreds of jobs, so it allocates per batch and per
 * bid, not per candidate.
 */
public final class Bidding {

    /** The most jobs that a machine bids for in a batch; more than enough to fill the machine until the next batch. */
    private static final int MAX_JOBS_PER_BIDDER = 8;

    /**
     * The most capacity that is overbooked, as a ratio to the free CPUs of all bidders. Overbooked capacity is offered to a job
     * although jobs ahead would take it: those may get capacity from other owners, or may not start for a reason that only the
     * leader knows. Without a bound, capacity that the leader keeps free, as headroom for urgent classes, would be offered to all
     * waiting jobs. Capacity that no job ahead would take is offered without regard to the bound. Otherwise many jobs that fill
     * the small machines would keep large machines from bidding for the jobs that fit only large machines.
     */
    private static final double MAX_OVERBOOKING = 1;

    /** Number of low bits of a candidate that hold the index of its bidder. */
    private static final int INDEX_BITS = 24;

    private static final int INDEX_MASK = (1 << INDEX_BITS) - 1;

    private final StateReplica replica;
    private final Estimator estimator;
    private final ScarceTypeFilter scarceTypes;
    private final PlacedZones placedZones;
    private final long wallClockMs;
    private final Set<String> quarantinedJobs;
    private final Map<List<Object>, BidderGroup> groups = new HashMap<>();
    /** One bidder of each group, from which the group's values are computed. */
    private final List<Bidder> representatives = new ArrayList<>();

    private final List<Bid> bids = new ArrayList<>();
    /** The first {@link #openBidderCount} elements are the bidders that may bid for further jobs; the others are unused. */
    private Bidder[] openBidders;

    private int openBidderCount;
    /** Scratch space for {@link #collectCandidates}. */
    private long[] candidates;
    /** Whether scarce machines bid for one task of the current job although it should yield them; see {@link ScarceTypeFilter}. */
    private boolean isYieldSuspended;
    /** Sum of the CPUs that are free on the bidders. */
    private double freeCpus;
    /** Sum of the CPUs that were offered although jobs ahead would take them. */
    private double overbookedCpus;

    /**
     * Prepares a batch.
     *
     * @param placedZones the zones of the waiting jobs' placed tasks; a machine that they forbid doesn't bid, since its slots
     *     would be missing for jobs that could use them
     * @param wallClockMs wall-clock time in milliseconds
     * @param quarantinedJobs ids of the quarantined jobs, which fail on every machine; one task of such a job is tried at a time
     */
    public Bidding(
            StateReplica replica,
            Estimator estimator,
            ScarceTypeFilter scarceTypes,
            PlacedZones placedZones,
            long wallClockMs,
            Set<String> quarantinedJobs) {
        this.replica = replica;
        this.estimator = estimator;
        this.scarceTypes = scarceTypes;
        this.placedZones = placedZones;
        this.wallClockMs = wallClockMs;
        this.quarantinedJobs = quarantinedJobs;
    }

    /**
     * Returns bids for the waiting jobs, which must be in queue order. A job without unstarted tasks gets late bids for its
     * running tasks. May be called only once.
     */
    public List<Bid> bids(List<JobView> waiting, List<Bidder> bidders) {
        prepareBidders(bidders);
        double minCpus =
                waiting.stream().mapToDouble(job -> job.spec().cpus()).min().orElse(0);
        for (JobView job : waiting) {
            if (openBidderCount == 0) {
                break;
            }
            updateGroups(job);
            bidFor(job);
            removeExhausted(isOverbookingAllowed() ? 0 : minCpus);
        }
        return bids;
    }

    private void prepareBidders(List<Bidder> bidders) {
        openBidders = bidders.toArray(new Bidder[0]);
        openBidderCount = openBidders.length;
        candidates = new long[openBidderCount];
        for (Bidder bidder : openBidders) {
            freeCpus += bidder.free.cpus();
            // A record as key would have its hashCode linked at start-up; see the package garnetscale.core.
            bidder.group = groups.computeIfAbsent(List.of(bidder.type.name(), bidder.zone, bidder.spot), key -> {
                representatives.add(bidder);
                return new BidderGroup();
            });
            bidder.images = replica.images(bidder.machine);
            bidder.machineFactor = estimator.machineFactor(bidder.machine);
        }
    }

    private void updateGroups(JobView job) {
        boolean isOverdue = scarceTypes.isOverdue(job, wallClockMs);
        isYieldSuspended = false;
        for (Bidder bidder : representatives) {
            boolean mayRun = JobQueue.allows(bidder.type, bidder.zone, bidder.spot, job.spec())
                    && placedZones.allowAnother(job.spec(), bidder.zone);
            boolean yields = mayRun && !scarceTypes.mayBid(job, bidder.type, bidder.zone, bidder.spot, wallClockMs);
            isYieldSuspended |= yields && isOverdue;
            bidder.group.mayBid = mayRun && (!yields || isOverdue);
            bidder.group.fetchS = Estimator.fetchS(job.spec(), bidder.type);
        }
    }

    private void bidFor(JobView job) {
        int tasks = tasksToBidFor(job);
        // More slots than can win, since the leader may reject a bid because of facts about the machine that only the
        // leader knows.
        int wantedSlots = tasks + tasks / 2 + 1;
        int missingSlots = bid(job, tasks, wantedSlots, false);
        if (missingSlots > 0 && isOverbookingAllowed()) {
            bid(job, tasks, missingSlots, true);
        }
    }

    private int tasksToBidFor(JobView job) {
        if (isYieldSuspended || quarantinedJobs.contains(job.spec().id())) {
            return 1;
        }
        return job.unstartedCount() == 0 ? job.placedCount() : job.unstartedCount();
    }

    private boolean isOverbookingAllowed() {
        return overbookedCpus <= MAX_OVERBOOKING * freeCpus;
    }

    /** Removes the bidders that have bid for the maximum number of jobs or have fewer than {@code minCpus} CPUs left. */
    private void removeExhausted(double minCpus) {
        int kept = 0;
        for (int i = 0; i < openBidderCount; i++) {
            Bidder bidder = openBidders[i];
            if (bidder.jobsBidFor < MAX_JOBS_PER_BIDDER && bidder.remaining.cpus() + MachineType.EPSILON >= minCpus) {
                openBidders[kept++] = bidder;
            }
        }
        openBidderCount = kept;
    }

    /**
     * Bids for a job with the capacity that the bids for the jobs ahead leave or, if overbooking, with all free capacity, since
     * those jobs may not get what was offered to them.
     *
     * @param tasks the number of the job's tasks that could start
     * @param wantedSlots the number of slots to offer
     * @return the number of wanted slots that couldn't be offered; 0 or negative if all were
     */
    private int bid(JobView job, int tasks, int wantedSlots, boolean isOverbooking) {
        JobSpec spec = job.spec();
        int found = collectCandidates(job, isOverbooking);
        Arrays.sort(candidates, 0, found);
        int missing = wantedSlots;
        for (int i = 0; i < found && missing > 0; i++) {
            Bidder bidder = openBidders[(int) (candidates[i] & INDEX_MASK)];
            int slots = Math.min((isOverbooking ? bidder.free : bidder.remaining).slots(spec), tasks);
            double finishS = (candidates[i] >> INDEX_BITS) / 10.0;
            bids.add(new Bid(bidder.machine, bidder.agentEpoch, spec.id(), slots, finishS));
            bidder.jobsBidFor++;
            bidder.lastJobBidFor = job;
            if (isOverbooking) {
                overbookedCpus += slots * spec.cpus();
            } else {
                bidder.remaining.take(spec, Math.min(slots, missing));
            }
            missing -= slots;
        }
        return missing;
    }

    /**
     * Puts the bidders that could bid for the job into {@link #candidates} and returns their number. A candidate packs the
     * estimated finish and the index of the bidder into one number, so that sorting allocates no object for each candidate. The
     * finish is rounded to tenths of a second, so that a batch changes only when something else has changed.
     */
    private int collectCandidates(JobView job, boolean isOverbooking) {
        JobSpec spec = job.spec();
        int found = 0;
        for (int i = 0; i < openBidderCount; i++) {
            Bidder bidder = openBidders[i];
            FreeCapacity free = isOverbooking ? bidder.free : bidder.remaining;
            if (bidder.group.mayBid
                    && bidder.lastJobBidFor != job
                    && free.cpus() + MachineType.EPSILON >= spec.cpus()
                    && free.fits(spec)) {
                candidates[found++] = Math.round(finishS(spec, bidder) * 10) << INDEX_BITS | i;
            }
        }
        return found;
    }

    private double finishS(JobSpec spec, Bidder bidder) {
        double runS = estimator.runTimeS(spec, bidder.machineFactor);
        return (bidder.images.containsKey(spec.image()) ? 0 : bidder.group.fetchS)
                + runS
                + (bidder.spot ? Estimator.spotRiskS(spec, runS) : 0);
    }
}

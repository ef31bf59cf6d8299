package garnetscale.core.partition;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.Times;
import garnetscale.core.bidding.Bid;
import garnetscale.core.bidding.BidBatch;
import garnetscale.core.bidding.Bidder;
import garnetscale.core.bidding.Bidding;
import garnetscale.core.bidding.Estimator;
import garnetscale.core.machine.FreeCapacity;
import garnetscale.core.machine.MachineType;
import garnetscale.core.machine.Placement;
import garnetscale.core.machine.TaskStatus;
import garnetscale.core.machine.WorkerHeartbeat;
import garnetscale.core.queue.JobOrder;
import garnetscale.core.queue.JobQueue;
import garnetscale.core.queue.ScarceTypeFilter;
import garnetscale.core.quota.QuotaUsage;
import garnetscale.core.state.FreeCapacityCache;
import garnetscale.core.state.JobView;
import garnetscale.core.state.StateReplica;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Submits the bids of this owner's machines to the leader when something that they depend on has changed, and not more often
 * than the windows that they are meant for can distinguish (paper, DSP step 3).
 */
final class BidSubmitter {

    /** Batches that fit into a window: often enough to close it early, and not one for each change of a busy moment. */
    private static final int BATCHES_PER_WINDOW = 6;

    private final SchedulerConfig config;
    private final StateReplica replica;
    private final Estimator estimator;
    private final PartitionLeases leases;
    private final Map<String, MachineView> machines;
    private final Reachability reachability;
    private final List<OwnerEffect> effects;
    private final JobOrder order;
    private final ScarceTypeFilter scarceTypes;
    private final FreeCapacityCache capacities;
    /** Jobs that fail wherever they run; a live set of {@link HeartbeatIntake}. */
    private final Set<String> suspectJobs;
    /** Started jobs that the leader takes late bids for. */
    private final Set<String> lateBidJobs = new HashSet<>();

    private BidBatch lastBatch;
    private boolean isStale = true;
    private long submittedAt = Times.NEVER;
    private long submittedRevision = -1;
    private long wallClockOffset;

    /** {@code machines} and {@code suspectJobs} are shared and only read here. */
    BidSubmitter(
            SchedulerConfig config,
            StateReplica replica,
            Estimator estimator,
            PartitionLeases leases,
            Map<String, MachineView> machines,
            Set<String> suspectJobs,
            Reachability reachability,
            List<OwnerEffect> effects) {
        this.config = config;
        this.replica = replica;
        this.estimator = estimator;
        this.leases = leases;
        this.machines = machines;
        this.suspectJobs = suspectJobs;
        this.reachability = reachability;
        this.effects = effects;
        this.order = new JobOrder(config);
        this.scarceTypes = new ScarceTypeFilter(config);
        this.capacities = new FreeCapacityCache(replica);
    }

    /** The difference between the time of day, which job records carry, and the steady clock. */
    void setWallClockOffset(long offset) {
        wallClockOffset = offset;
    }

    /** Replaces the started jobs that the leader takes late bids for. */
    void onLateBidJobs(List<String> jobs) {
        lateBidJobs.clear();
        lateBidJobs.addAll(jobs);
    }

    /** Something that bids depend on has changed, beside the replica: they are made anew when the next ones are due. */
    void markStale() {
        isStale = true;
    }

    /** Forgets what was submitted, for a leader that is new or whose connection is. */
    void forgetSubmitted() {
        lastBatch = null;
        submittedAt = Times.NEVER;
        isStale = true;
    }

    /** Forgets the free capacity of machines that this owner doesn't have any more. */
    void retainOwnedMachines() {
        capacities.retain(machines.keySet());
    }

    /** Milliseconds until bids that were put off are due, or -1 if there are none. */
    long msUntilDue(long now) {
        return isPending() && !leases.ownedNames().isEmpty() ? Math.max(1, submittedAt + minGapMs() - now) : -1;
    }

    private boolean isPending() {
        return isStale || submittedRevision != replica.revision();
    }

    private long minGapMs() {
        return config.bidWindowMs() / BATCHES_PER_WINDOW;
    }

    /** Makes all bids anew if that is due, and submits them if they differ from the last ones. */
    void submitIfDue(long now) {
        if (!isPending() || now - submittedAt < minGapMs()) {
            return;
        }
        Map<String, Long> terms = leases.terms();
        if (terms.isEmpty()) {
            return;
        }
        submittedAt = now;
        isStale = false;
        submittedRevision = replica.revision();
        List<JobView> waiting = waitingJobs(now);
        List<Bid> bids = List.of();
        if (!waiting.isEmpty()) {
            bids = bidsFor(now, waiting);
        }
        BidBatch batch = new BidBatch(config.self(), leases.incarnation(), replica.revision(), terms, bids);
        if (isNews(batch, waiting)) {
            lastBatch = batch;
            effects.add(new OwnerEffect.SubmitBids(batch));
        }
    }

    private List<JobView> waitingJobs(long now) {
        List<JobView> waiting = JobQueue.sort(replica.jobs(), order, wallClockMs(now));
        for (String id : lateBidJobs) {
            JobView job = replica.job(id);
            if (job != null && job.isLive() && job.unstartedCount() == 0) {
                // Behind all that waits: a late bid is only for capacity that nobody else has a use for.
                waiting.add(job);
            }
        }
        return waiting;
    }

    /** Removes from {@code waiting} what quotas forbid, and bids for the rest. */
    private List<Bid> bidsFor(long now, List<JobView> waiting) {
        QuotaUsage quota = QuotaUsage.of(config, replica);
        waiting.removeIf(job -> !quota.allows(job.spec()));
        scarceTypes.refresh(replica.types(), waiting);
        return new Bidding(replica, estimator, scarceTypes, wallClockMs(now), suspectJobs)
                .bids(waiting, bidders(now, waiting));
    }

    /** Whether the leader has a use for the batch; with jobs waiting it also says up to which revision jobs are in sight. */
    private boolean isNews(BidBatch batch, List<JobView> waiting) {
        return lastBatch == null
                || !lastBatch.bids().equals(batch.bids())
                || !lastBatch.terms().equals(batch.terms())
                || !waiting.isEmpty() && lastBatch.revision() != batch.revision();
    }

    /** Machines that may bid, with what is free on them. */
    private List<Bidder> bidders(long now, List<JobView> waiting) {
        double minCpus = Double.MAX_VALUE;
        for (JobView job : waiting) {
            minCpus = Math.min(minCpus, job.spec().cpus());
        }
        List<Bidder> bidders = new ArrayList<>();
        for (MachineView machine : machines.values()) {
            WorkerHeartbeat heartbeat = machine.lastHeartbeat;
            MachineType type = heartbeat == null ? null : replica.type(heartbeat.type());
            if (type == null || !mayBid(now, machine)) {
                continue;
            }
            FreeCapacity placedFree = capacities.of(machine.id, type);
            if (placedFree.cpus() + MachineType.EPSILON < minCpus) {
                continue;
            }
            FreeCapacity free = placedFree.copy();
            takeUnplaced(machine, free);
            bidders.add(new Bidder(machine.id, heartbeat.agentEpoch(), type, heartbeat.zone(), heartbeat.spot(), free));
        }
        return bidders;
    }

    /** Takes the capacity of tasks that run on the machine without being placed there: they are still to be stopped. */
    private void takeUnplaced(MachineView machine, FreeCapacity free) {
        for (TaskStatus task : machine.lastHeartbeat.tasks()) {
            if (!task.exited() && !isPlaced(machine.id, task.attempt())) {
                JobView job = replica.job(task.task().job());
                if (job != null) {
                    free.take(job.spec());
                }
            }
        }
    }

    private boolean isPlaced(String machine, long attempt) {
        for (Placement placement : replica.placements(machine)) {
            if (placement.attempt() == attempt) {
                return true;
            }
        }
        return false;
    }

    /** Whether the machine may be given work: it is alive and reachable, isn't cordoned and has no eviction notice. */
    boolean mayBid(long now, MachineView machine) {
        WorkerHeartbeat heartbeat = machine.lastHeartbeat;
        return heartbeat != null
                && !reachability.isIsolatedFromWorkers()
                && machine.hasAnswered
                && !machine.isUnreachable()
                && !machine.isSilent(now, config.heartbeatIntervalMs())
                && machine.hasLiveEpoch()
                && heartbeat.evictionNoticeS() == null
                && now >= machine.cordonedUntil;
    }

    private long wallClockMs(long now) {
        return now + wallClockOffset;
    }
}

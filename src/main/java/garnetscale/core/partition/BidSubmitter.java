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
import garnetscale.core.queue.PlacedZones;
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
 * Submits the bids of this owner's machines to the leader when data that the bids depend on has changed, at most a few times
 * per bid window, since further batches would make no difference to the leader (paper, DSP step 3).
 */
final class BidSubmitter {

    /**
     * Maximum number of batches per bid window: high enough that the window can close early, and low enough that a burst of
     * changes doesn't cause a batch for each change.
     */
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
    /** Quarantined jobs, which fail on every machine; a live set of {@link HeartbeatIntake}. */
    private final Set<String> quarantinedJobs;
    /** Started jobs for which the leader accepts late bids. */
    private final Set<String> lateBidJobs = new HashSet<>();

    private BidBatch lastBatch;
    /** When {@link #lastBatch} was submitted. */
    private long lastBatchAt = Times.NEVER;

    private boolean isStale = true;
    private long submittedAt = Times.NEVER;
    private long submittedRevision = -1;
    private long wallClockOffset;

    /** {@code machines} and {@code quarantinedJobs} are shared; this class only reads them. */
    BidSubmitter(
            SchedulerConfig config,
            StateReplica replica,
            Estimator estimator,
            PartitionLeases leases,
            Map<String, MachineView> machines,
            Set<String> quarantinedJobs,
            Reachability reachability,
            List<OwnerEffect> effects) {
        this.config = config;
        this.replica = replica;
        this.estimator = estimator;
        this.leases = leases;
        this.machines = machines;
        this.quarantinedJobs = quarantinedJobs;
        this.reachability = reachability;
        this.effects = effects;
        this.order = new JobOrder(config);
        this.scarceTypes = new ScarceTypeFilter(config);
        this.capacities = new FreeCapacityCache(replica);
    }

    /** Sets the milliseconds to add to the steady clock to get the wall-clock time, which job records carry. */
    void setWallClockOffset(long offset) {
        wallClockOffset = offset;
    }

    /** Replaces the started jobs for which the leader accepts late bids. */
    void onLateBidJobs(List<String> jobs) {
        lateBidJobs.clear();
        lateBidJobs.addAll(jobs);
    }

    /**
     * Marks the bids as stale because something that they depend on, other than the replica, has changed. They are computed
     * again when the next batch is due.
     */
    void markStale() {
        isStale = true;
    }

    /** Forgets what was submitted, because the leader or the connection to it is new. */
    void forgetSubmitted() {
        lastBatch = null;
        submittedAt = Times.NEVER;
        isStale = true;
    }

    /** Forgets the free capacity of machines that this owner no longer has. */
    void retainOwnedMachines() {
        capacities.retain(machines.keySet());
    }

    /**
     * Returns the milliseconds, at least 1, until pending bids may be submitted, or -1 if no bids are pending or no partition
     * is owned.
     */
    long msUntilDue(long now) {
        return isPending() && !leases.ownedNames().isEmpty() ? Math.max(1, submittedAt + minIntervalMs() - now) : -1;
    }

    private boolean isPending() {
        return isStale || submittedRevision != replica.revision();
    }

    private long minIntervalMs() {
        return config.bidWindowMs() / BATCHES_PER_WINDOW;
    }

    /** Computes all bids again if that is due, and submits them if {@link #shouldSubmit} holds for the new batch. */
    void submitIfDue(long now) {
        if (!isPending() || now - submittedAt < minIntervalMs()) {
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
        if (shouldSubmit(now, batch, waiting)) {
            lastBatch = batch;
            lastBatchAt = now;
            effects.add(new OwnerEffect.SubmitBids(batch));
        }
    }

    private List<JobView> waitingJobs(long now) {
        List<JobView> waiting = JobQueue.sort(replica.jobs(), order, wallClockMs(now));
        for (String id : lateBidJobs) {
            JobView job = replica.job(id);
            if (job != null && job.isLive() && job.unstartedCount() == 0) {
                // Added after all waiting jobs: late bids are only for capacity that no waiting job uses.
                waiting.add(job);
            }
        }
        return waiting;
    }

    /** Removes the jobs that quotas forbid from {@code waiting}, and returns bids for the remaining ones. */
    private List<Bid> bidsFor(long now, List<JobView> waiting) {
        QuotaUsage quota = QuotaUsage.of(config, replica);
        waiting.removeIf(job -> !quota.allows(job.spec()));
        PlacedZones placedZones = new PlacedZones(replica, waiting);
        scarceTypes.refresh(replica.types(), waiting, placedZones, quarantinedJobs, wallClockMs(now));
        return new Bidding(replica, estimator, scarceTypes, placedZones, wallClockMs(now), quarantinedJobs)
                .bids(waiting, bidders(now, waiting));
    }

    /**
     * Returns whether the batch has something that the leader doesn't know yet. While jobs are waiting, a new revision alone
     * is enough: it shows the leader up to which revision this owner has seen the jobs. An unchanged batch is submitted again
     * from time to time, like an unchanged status, because the leader may have dropped it.
     */
    private boolean shouldSubmit(long now, BidBatch batch, List<JobView> waiting) {
        return lastBatch == null
                || !lastBatch.bids().equals(batch.bids())
                || !lastBatch.terms().equals(batch.terms())
                || !waiting.isEmpty()
                        && (lastBatch.revision() != batch.revision()
                                || now - lastBatchAt
                                        >= StatusPublisher.REFRESH_HEARTBEATS * config.heartbeatIntervalMs());
    }

    /** Returns the machines that may bid and have the CPUs for the smallest waiting job, with the free capacity of each. */
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
            FreeCapacity freeAfterPlacements = capacities.of(machine.id, type);
            if (freeAfterPlacements.cpus() + MachineType.EPSILON < minCpus) {
                continue;
            }
            FreeCapacity free = freeAfterPlacements.copy();
            takeUnplaced(machine, free);
            bidders.add(new Bidder(machine.id, heartbeat.agentEpoch(), type, heartbeat.zone(), heartbeat.spot(), free));
        }
        return bidders;
    }

    /** Subtracts the capacity of tasks that run on the machine without being placed there; they are still to be stopped. */
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

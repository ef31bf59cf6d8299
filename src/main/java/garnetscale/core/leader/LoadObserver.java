package garnetscale.core.leader;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.Times;
import garnetscale.core.balance.Demand;
import garnetscale.core.balance.LoadSnapshot;
import garnetscale.core.balance.LoadTracker;
import garnetscale.core.balance.MachineGroup;
import garnetscale.core.balance.MachineLoad;
import garnetscale.core.balance.UnknownReason;
import garnetscale.core.bidding.Auction;
import garnetscale.core.bidding.Estimator;
import garnetscale.core.cluster.PartitionLease;
import garnetscale.core.job.JobSpec;
import garnetscale.core.machine.MachineType;
import garnetscale.core.machine.Placement;
import garnetscale.core.partition.MachineStatus;
import garnetscale.core.queue.JobQueue;
import garnetscale.core.state.JobView;
import garnetscale.core.state.StateReplica;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Feeds the load tracker from what the leader receives anyway: machine statuses, bids and heartbeats of the partitions' owners,
 * and the stored placements. Owners publish a machine's status only when something about it changes, so a status is as current
 * as the last message of its owner.
 */
final class LoadObserver {

    /** Worker leases without a message from an owner after which its machine statuses are no longer trusted. */
    private static final double OWNER_TIMEOUT_LEASES = 0.5;
    /** Time constant of the average utilization, in heartbeat intervals. */
    private static final double SMOOTHING_INTERVALS = 5;

    /**
     * Inputs from which a machine's load was last computed.
     *
     * @param unknownReason why the load isn't known, or null if it is
     * @param isServing     whether the load is known and the machine accepts tasks; see {@link MachineLoad#serving}
     */
    private record Inputs(
            MachineStatus status,
            List<Placement> placements,
            MachineType type,
            UnknownReason unknownReason,
            boolean isServing) {

        /**
         * Returns whether nothing has changed. Placements and statuses are always replaced as a whole, so comparing references
         * detects changes at no cost.
         */
        @SuppressWarnings("ReferenceEquality")
        boolean isSame(Inputs other) {
            return other != null
                    && status == other.status
                    && placements == other.placements
                    && type == other.type
                    && unknownReason == other.unknownReason
                    && isServing == other.isServing;
        }
    }

    private final SchedulerConfig config;
    private final StateReplica replica;
    private final Auction auction;
    private final Estimator estimator;
    private final LoadTracker tracker;
    /** When the last message from each controller arrived. */
    private final Map<String, Long> lastMessageAt = new HashMap<>();
    /** Inputs last used, by machine. */
    private final Map<String, Inputs> inputs = new HashMap<>();

    private LoadSnapshot snapshot = LoadSnapshot.EMPTY;

    LoadObserver(SchedulerConfig config, StateReplica replica, Auction auction, Estimator estimator) {
        this.config = config;
        this.replica = replica;
        this.auction = auction;
        this.estimator = estimator;
        this.tracker = new LoadTracker(SMOOTHING_INTERVALS * config.heartbeatIntervalMs());
    }

    /** Discards everything at the start of a new term; messages received before don't count. */
    void clear() {
        lastMessageAt.clear();
        inputs.clear();
        tracker.clear();
        snapshot = LoadSnapshot.EMPTY;
    }

    /** Records that a message from the controller has arrived. */
    void onControllerMessage(long now, String node) {
        lastMessageAt.put(node, now);
    }

    /** Returns the load as of the last update. */
    LoadSnapshot snapshot() {
        return snapshot;
    }

    /** Updates the load from the machines that have changed, and returns it. */
    LoadSnapshot update(SchedulingCycle cycle) {
        Map<String, UnknownReason> ownerReasons = new HashMap<>();
        Map<String, MachineState> present = new HashMap<>();
        for (MachineState machine : cycle.machines()) {
            if (replica.type(machine.status.type()) != null) {
                present.put(machine.id, machine);
                update(cycle.now(), machine, ownerReasons);
            }
        }
        inputs.keySet().retainAll(present.keySet());
        tracker.retain(cycle.now(), present.keySet());
        snapshot = tracker.snapshot(cycle.now(), demand(tracker.snapshot(cycle.now(), Demand.NONE)));
        return snapshot;
    }

    private void update(long now, MachineState machine, Map<String, UnknownReason> ownerReasons) {
        UnknownReason unknownReason = unknownReason(now, machine, ownerReasons);
        boolean isServing = unknownReason == null && machine.acceptsTasks(now);
        MachineType type = replica.type(machine.status.type());
        Inputs next = new Inputs(machine.status, replica.placements(machine.id), type, unknownReason, isServing);
        if (next.isSame(inputs.get(machine.id))) {
            return;
        }
        inputs.put(machine.id, next);
        Map<String, Long> usedByTeam = new HashMap<>();
        for (Placement placement : next.placements()) {
            JobView job = replica.job(placement.task().job());
            if (job != null) {
                usedByTeam.merge(
                        job.spec().team(), MachineLoad.milliCpus(job.spec().cpus()), Long::sum);
            }
        }
        long milliCpus = MachineLoad.milliCpus(type.cpus());
        tracker.update(
                now, machine.id, new MachineLoad(groupOf(machine), unknownReason, isServing, milliCpus, usedByTeam));
    }

    /** Returns the group to which the machine's load is added. */
    static MachineGroup groupOf(MachineState machine) {
        return new MachineGroup(machine.status.zone(), machine.status.type());
    }

    /**
     * Returns why the machine's load isn't known, or null if it is.
     *
     * @param ownerReasons caches {@link #ownerReason} by partition
     */
    private UnknownReason unknownReason(long now, MachineState machine, Map<String, UnknownReason> ownerReasons) {
        String partition = machine.status.partition();
        PartitionLease lease = replica.partition(partition);
        if (lease == null
                || lease.term() != machine.status.term()
                || lease.incarnation() != machine.status.incarnation()) {
            return UnknownReason.PARTITION_REASSIGNED;
        }
        if (!ownerReasons.containsKey(partition)) {
            ownerReasons.put(partition, ownerReason(now, partition, lease.owner()));
        }
        UnknownReason ownerReason = ownerReasons.get(partition);
        return ownerReason == null && machine.status.silent() ? UnknownReason.MACHINE_SILENT : ownerReason;
    }

    /** Returns why the owner's statuses of the partition's machines aren't trusted, or null if they are. */
    private UnknownReason ownerReason(long now, String partition, String owner) {
        long messageAt = owner.equals(config.self()) ? now : lastMessageAt.getOrDefault(owner, Times.NEVER);
        if (now - messageAt > OWNER_TIMEOUT_LEASES * config.workerLeaseMs()) {
            return UnknownReason.OWNER_SILENT;
        }
        return auction.hasCurrentBatch(partition) ? null : UnknownReason.OWNER_NOT_BIDDING;
    }

    // ---- demand

    /**
     * Returns the CPU-seconds that waiting and placed tasks will take, by team, and those of waiting tasks also by machine
     * group.
     */
    private Demand demand(LoadSnapshot load) {
        Demand demand = Demand.NONE;
        for (JobView job : replica.jobs()) {
            if (job.isLive()) {
                double taskCpuS = job.spec().cpus() * estimator.runTimeS(job.spec());
                double waitingCpuS = taskCpuS * job.unstartedCount();
                demand = demand.plus(job.spec().team(), waitingCpuS, taskCpuS * job.placedCount());
                if (waitingCpuS > 0) {
                    demand = plusWaiting(demand, load, job.spec(), waitingCpuS);
                }
            }
        }
        return demand;
    }

    /** Adds the CPU-seconds of a job's waiting tasks, split in proportion to capacity among the groups in which they fit. */
    private Demand plusWaiting(Demand demand, LoadSnapshot load, JobSpec job, double waitingCpuS) {
        List<MachineGroup> fitting = new ArrayList<>();
        double capacityCpus = 0;
        for (MachineGroup group : load.groups().keySet()) {
            MachineType type = replica.type(group.type());
            if (type != null && JobQueue.allows(type, group.zone(), false, job)) {
                fitting.add(group);
                capacityCpus += load.capacityCpus(group);
            }
        }
        Demand sum = demand;
        for (MachineGroup group : fitting) {
            double share = capacityCpus <= 0 ? 1.0 / fitting.size() : load.capacityCpus(group) / capacityCpus;
            sum = sum.plusWaiting(group, waitingCpuS * share);
        }
        return sum;
    }
}

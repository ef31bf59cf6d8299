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
 * Feeds the load tracker from what the leader is told anyway: machine statuses, bids and heartbeats of the partitions' owners, and
 * the stored placements. Owners publish a machine's status only when something about it changes, so it is as good as the last sign
 * of life of its owner.
 */
final class LoadObserver {

    /** An owner that wasn't heard from for this part of a worker's lease isn't believed about its machines any more. */
    private static final double OWNER_HEARD_WITHIN_LEASES = 0.5;
    /** The time constant of the average utilization, in heartbeat intervals. */
    private static final double SMOOTHING_INTERVALS = 5;

    /** What a machine's load was last worked out from. */
    private record Inputs(
            MachineStatus status,
            List<Placement> placements,
            MachineType type,
            UnknownReason unknownReason,
            boolean isServing) {

        /** Both placements and statuses are replaced whole, so that identity tells what changed at no cost. */
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
    /** When each controller last gave a sign of life. */
    private final Map<String, Long> lastHeardAt = new HashMap<>();
    /** By machine. */
    private final Map<String, Inputs> inputs = new HashMap<>();

    private LoadSnapshot snapshot = LoadSnapshot.EMPTY;

    LoadObserver(SchedulerConfig config, StateReplica replica, Auction auction, Estimator estimator) {
        this.config = config;
        this.replica = replica;
        this.auction = auction;
        this.estimator = estimator;
        this.tracker = new LoadTracker(SMOOTHING_INTERVALS * config.heartbeatIntervalMs());
    }

    /** A new leadership begins: what was heard before doesn't count. */
    void clear() {
        lastHeardAt.clear();
        inputs.clear();
        tracker.clear();
        snapshot = LoadSnapshot.EMPTY;
    }

    /** A controller gave a sign of life. */
    void onSignOfLife(long now, String node) {
        lastHeardAt.put(node, now);
    }

    /** The load as of the last update. */
    LoadSnapshot snapshot() {
        return snapshot;
    }

    /** Works out the load anew, from the machines that have changed. */
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

    /** The group that the machine's load counts in. */
    static MachineGroup groupOf(MachineState machine) {
        return new MachineGroup(machine.status.zone(), machine.status.type());
    }

    /** Why the machine's load isn't known, or null; {@code ownerReasons} keeps what was found out of the partitions' owners. */
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

    /** Why the owner isn't believed about the partition's machines, or null when it is. */
    private UnknownReason ownerReason(long now, String partition, String owner) {
        long heardAt = owner.equals(config.self()) ? now : lastHeardAt.getOrDefault(owner, Times.NEVER);
        if (now - heardAt > OWNER_HEARD_WITHIN_LEASES * config.workerLeaseMs()) {
            return UnknownReason.OWNER_SILENT;
        }
        return auction.hasCurrentBatch(partition) ? null : UnknownReason.OWNER_NOT_BIDDING;
    }

    // ---- demand

    /** CPU-seconds that waiting and placed tasks will take, by team, and the waiting ones by group. */
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

    /** Splits what the job waits for among the groups that it fits, by their capacity. */
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

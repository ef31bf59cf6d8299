package garnetscale.core.leader;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.balance.Demand;
import garnetscale.core.balance.LoadSnapshot;
import garnetscale.core.balance.LoadTracker;
import garnetscale.core.balance.MachineGroup;
import garnetscale.core.balance.MachineLoad;
import garnetscale.core.balance.UnknownReason;
import garnetscale.core.bidding.Auction;
import garnetscale.core.bidding.Estimator;
import garnetscale.core.job.JobSpec;
import garnetscale.core.machine.MachineType;
import garnetscale.core.machine.Placement;
import garnetscale.core.partition.MachineStatus;
import garnetscale.core.partition.PartitionLease;
import garnetscale.core.queue.JobQueue;
import garnetscale.core.state.JobView;
import garnetscale.core.state.StateReplica;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Feeds the load tracker from what the leader is told anyway: holders' observations, their bids and heartbeats, and the stored
 * placements. Holders report a machine only when something about it changes, so its observation is as good as the last sign of
 * life of its holder.
 */
final class LoadObserver {

    /** A holder that wasn't heard from for this part of a worker's lease doesn't vouch for its machines any more. */
    private static final double HEARD_WITHIN_LEASES = 0.5;
    /** The time constant of the average utilization, in report intervals. */
    private static final double SMOOTHING_REPORTS = 5;

    /** What a machine's load was last worked out from. */
    private record Inputs(
            MachineStatus machineStatus,
            List<Placement> placements,
            MachineType type,
            UnknownReason unknown,
            boolean serving) {

        /** Both lists and observations are replaced whole, so that identity tells what changed at no cost. */
        @SuppressWarnings("ReferenceEquality")
        boolean isSame(Inputs other) {
            return other != null
                    && machineStatus == other.machineStatus
                    && placements == other.placements
                    && type == other.type
                    && unknown == other.unknown
                    && serving == other.serving;
        }
    }

    private final SchedulerConfig config;
    private final StateReplica replica;
    private final Auction auction;
    private final Estimator estimator;
    private final LoadTracker tracker;
    private final Map<String, Long> heardAt = new HashMap<>();
    private final Map<String, Inputs> inputs = new HashMap<>();
    private LoadSnapshot snapshot = LoadSnapshot.EMPTY;

    LoadObserver(SchedulerConfig config, StateReplica replica, Auction auction, Estimator estimator) {
        this.config = config;
        this.replica = replica;
        this.auction = auction;
        this.estimator = estimator;
        this.tracker = new LoadTracker(SMOOTHING_REPORTS * config.heartbeatIntervalMs());
    }

    /** A new leadership begins: what was heard before doesn't count. */
    void clear() {
        heardAt.clear();
        inputs.clear();
        tracker.clear();
        snapshot = LoadSnapshot.EMPTY;
    }

    /** A controller gave a sign of life. */
    void heard(long now, String node) {
        heardAt.put(node, now);
    }

    /** The picture as of the last update. */
    LoadSnapshot snapshot() {
        return snapshot;
    }

    /** Brings the picture up to date. */
    LoadSnapshot update(SchedulingCycle turn) {
        Map<String, UnknownReason> partitions = new HashMap<>();
        Map<String, MachineState> present = new HashMap<>();
        for (MachineState machine : turn.machines()) {
            if (replica.type(machine.last.type()) != null) {
                present.put(machine.id, machine);
                update(turn.now(), machine, partitions);
            }
        }
        inputs.keySet().retainAll(present.keySet());
        tracker.retain(turn.now(), present.keySet());
        snapshot = tracker.snapshot(turn.now(), demand(tracker.snapshot(turn.now(), Demand.NONE)));
        return snapshot;
    }

    private void update(long now, MachineState machine, Map<String, UnknownReason> partitions) {
        UnknownReason unknown = unknown(now, machine, partitions);
        boolean serving = unknown == null
                && machine.last.evictionNoticeS() == null
                && now >= machine.avoidUntil
                && !machine.decommissioned;
        MachineType type = replica.type(machine.last.type());
        Inputs next = new Inputs(machine.last, replica.placements(machine.id), type, unknown, serving);
        if (next.isSame(inputs.get(machine.id))) {
            return;
        }
        inputs.put(machine.id, next);
        Map<String, Long> usedBy = new HashMap<>();
        for (Placement placement : next.placements()) {
            JobView job = replica.job(placement.task().job());
            if (job != null) {
                usedBy.merge(job.spec().team(), MachineLoad.milliCpus(job.spec().cpus()), Long::sum);
            }
        }
        MachineGroup group = groupOf(machine);
        tracker.update(
                now, machine.id, new MachineLoad(group, unknown, serving, MachineLoad.milliCpus(type.cpus()), usedBy));
    }

    static MachineGroup groupOf(MachineState machine) {
        return new MachineGroup(machine.last.zone(), machine.last.type());
    }

    private UnknownReason unknown(long now, MachineState machine, Map<String, UnknownReason> partitions) {
        String partition = machine.last.partition();
        PartitionLease lease = replica.partition(partition);
        if (lease == null || lease.term() != machine.last.term() || lease.incarnation() != machine.last.incarnation()) {
            return UnknownReason.PARTITION_REASSIGNED;
        }
        if (!partitions.containsKey(partition)) {
            partitions.put(partition, unknownOwner(now, partition, lease.owner()));
        }
        UnknownReason ofOwner = partitions.get(partition);
        return ofOwner == null && machine.last.silent() ? UnknownReason.MACHINE_SILENT : ofOwner;
    }

    private UnknownReason unknownOwner(long now, String partition, String owner) {
        long heard = owner.equals(config.self()) ? now : heardAt.getOrDefault(owner, Long.MIN_VALUE / 2);
        if (now - heard > HEARD_WITHIN_LEASES * config.leaseMs()) {
            return UnknownReason.OWNER_UNHEARD;
        }
        return auction.speaksFor(partition) ? null : UnknownReason.OWNER_NOT_BIDDING;
    }

    // ---- demand

    private Demand demand(LoadSnapshot load) {
        Demand demand = Demand.NONE;
        for (JobView job : replica.jobs()) {
            if (job.live()) {
                double taskCpuS = job.spec().cpus() * estimator.runS(job.spec());
                double waitingCpuS = taskCpuS * job.unstarted();
                demand = demand.plus(job.spec().team(), waitingCpuS, taskCpuS * job.placedCount());
                if (waitingCpuS > 0) {
                    demand = split(demand, load, job.spec(), waitingCpuS);
                }
            }
        }
        return demand;
    }

    private Demand split(Demand demand, LoadSnapshot load, JobSpec job, double waitingCpuS) {
        List<MachineGroup> groups = new ArrayList<>();
        double capacity = 0;
        for (MachineGroup group : load.groups().keySet()) {
            MachineType type = replica.type(group.type());
            if (type != null && JobQueue.allows(type, group.zone(), false, job)) {
                groups.add(group);
                capacity += load.capacityCpus(group);
            }
        }
        Demand sum = demand;
        for (MachineGroup group : groups) {
            double share = capacity <= 0 ? 1.0 / groups.size() : load.capacityCpus(group) / capacity;
            sum = sum.plusWaiting(group, waitingCpuS * share);
        }
        return sum;
    }
}

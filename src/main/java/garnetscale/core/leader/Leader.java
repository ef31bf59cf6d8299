package garnetscale.core.leader;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.balance.LoadSnapshot;
import garnetscale.core.balance.Move;
import garnetscale.core.bidding.BidBatch;
import garnetscale.core.cluster.PartitionLease;
import garnetscale.core.cluster.PartitionMap;
import garnetscale.core.partition.MachineStatus;
import garnetscale.core.state.StateReplica;
import garnetscale.core.state.Transaction;
import garnetscale.core.upgrade.UpgradeDecision;
import garnetscale.core.upgrade.UpgradeStep;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;

/**
 * The leader: leases partitions to controllers, takes bids, keeps quotas and places tasks; the only writer of placements and
 * finished tasks. It has at most one transaction under way (see {@link TransactionPipeline}) and drafts each from the replica
 * alone plus what the owners of partitions have published, so that a lost answer costs a fresh look and nothing else.
 *
 * <p>Every controller has one; while it doesn't lead, it only watches for its turn. Times are milliseconds of the steady clock.
 */
public final class Leader {

    private final StateReplica replica;
    private final LeaderContext context;
    private final Map<String, MachineState> machines;
    private final AttemptNumbers attempts = new AttemptNumbers();
    private final PeerFailureDetector failureDetector;
    private final LeaderElection election;
    private final UpgradePlanner upgrades;
    private final PartitionAssigner partitionAssigner;
    private final MachineEvaluator machineEvaluator;
    private final ExitRecorder exitRecorder;
    private final Balancer balancer;
    private final PlacementPlanner placements;

    private long wallClockOffset;

    /** {@code log} takes one line for each event that operators may want to know of. */
    public Leader(SchedulerConfig config, StateReplica replica, PartitionMap partitions, Consumer<String> log) {
        this.replica = replica;
        this.context = LeaderContext.of(config, replica, log);
        this.machines = context.machines();
        this.failureDetector = new PeerFailureDetector(config, replica, log);
        this.election = new LeaderElection(config, replica, failureDetector, log);
        this.upgrades = new UpgradePlanner(config, replica, log);
        this.partitionAssigner =
                new PartitionAssigner(config, replica, partitions, failureDetector, machines.values(), log);
        this.machineEvaluator = new MachineEvaluator(context);
        this.exitRecorder = new ExitRecorder(context, machineEvaluator);
        this.balancer = new Balancer(context);
        this.placements = new PlacementPlanner(context, attempts, exitRecorder, machineEvaluator, balancer);
    }

    // ---- leadership

    /** The state service granted this process a lease, which identifies it from now on. */
    public void onLeaseGranted(long lease) {
        election.onLeaseGranted(lease);
    }

    /** The term that this process leads under by the replica, or -1. */
    public long leadingTerm() {
        return election.leadingTerm();
    }

    /** Takes up leadership when the replica says so, and drops all that was known under an earlier term. */
    public boolean leads(long now) {
        if (election.takeUp(now)) {
            beginTerm(now);
        }
        return election.isLeading();
    }

    private void beginTerm(long now) {
        attempts.begin(election.term());
        context.awardTimes().clear();
        upgrades.clear();
        machines.clear();
        exitRecorder.clear();
        partitionAssigner.begin(now);
        placements.clear();
        context.auction().clear();
        balancer.begin(now);
        context.log().accept("took leadership, term=" + election.term());
    }

    /** The transaction that makes this controller the leader, or null when there is one that isn't known to be down. */
    public Transaction election(long now) {
        return election.elect(now);
    }

    /**
     * The transaction by which this leader steps down, or null: when its term's numbers are used up, or when no worker reaches
     * it. To be asked of a leader alone.
     */
    public Transaction resignation(long now) {
        if (attempts.isNearlyUsedUp() || partitionAssigner.isNearlyUsedUp()) {
            return election.resignForNewTerm();
        }
        return election.resignIfIsolated(now, machines.values());
    }

    /** The transaction to send after one whose outcome is unknown; see {@link LeaderElection#fence}. */
    public Transaction fence() {
        return election.fence();
    }

    // ---- messages

    /** What to add to the steady clock's milliseconds for the time of day. */
    public void setWallClockOffset(long offset) {
        wallClockOffset = offset;
    }

    /** A controller's process seems to be down, or is heard of again. */
    public void onPeerReachability(long now, String node, boolean down) {
        failureDetector.suspect(now, node, down);
    }

    /** A controller's heartbeat says whether workers reach it. */
    public void onWorkerReachability(long now, String node, boolean isolatedFromWorkers) {
        failureDetector.onWorkerReachability(node, isolatedFromWorkers);
        balancer.onSignOfLife(now, node);
    }

    /** A partition's owner published a machine's status; dropped if the owner isn't the current one. */
    public void onMachineStatus(long now, MachineStatus status) {
        PartitionLease lease = replica.partition(status.partition());
        if (!election.isLeading()
                || lease == null
                || lease.term() != status.term()
                || lease.incarnation() != status.incarnation()) {
            return;
        }
        balancer.onSignOfLife(now, status.node());
        exitRecorder.onTerminated(status);
        if (status.type().isEmpty() || exitRecorder.isTerminated(status.machine())) {
            return;
        }
        machines.computeIfAbsent(status.machine(), MachineState::new)
                .onStatus(now, status, replica, context.estimator());
        exitRecorder.onExits(status);
    }

    /** A controller submitted the bids of its machines. */
    public void onBids(long now, BidBatch batch) {
        if (election.isLeading()) {
            context.auction().onBatch(now, batch);
        }
    }

    /** The cloud answered a delete with 200, or lists the machine as failed: nothing is on it any more. */
    public void onMachineTerminated(String machine) {
        exitRecorder.onMachineTerminated(machine);
        machines.remove(machine);
    }

    /** A machine left the cloud's list long ago. Lists are late, so this frees nothing: it only ends an empty record. */
    public void onMachineVanished(String machine) {
        if (replica.placements(machine).isEmpty()) {
            onMachineTerminated(machine);
        }
    }

    /** An operator's request to change the cluster's version; see {@link UpgradePlanner#request}. */
    public UpgradeDecision upgrade(long now, UpgradeStep step) {
        return leads(now)
                ? upgrades.request(now, step)
                : new UpgradeDecision.Refused("this controller isn't the leader");
    }

    // ---- planning

    /** The next transaction, or null when this controller doesn't lead or there is nothing to change. */
    public Transaction plan(long now) {
        if (!leads(now)) {
            return null;
        }
        balancer.reconcile();
        Transaction versionChange = upgrades.plan(now);
        if (versionChange != null) {
            return versionChange;
        }
        Transaction partitionLeases = partitionAssigner.plan(now, election.term());
        if (partitionLeases != null) {
            return partitionLeases;
        }
        return placements.plan(now, now + wallClockOffset);
    }

    /** Milliseconds until planning again may lead to something without any news, or -1. */
    public long millisToNextPlan(long now) {
        return context.auction().msUntilNextClose(now);
    }

    // ---- what others are told

    /** What the partitions' owners last published of each machine. */
    public Collection<MachineStatus> machines() {
        List<MachineStatus> list = new ArrayList<>(machines.size());
        machines.values().forEach(machine -> list.add(machine.status));
        return list;
    }

    /** Started jobs for which late bids are wanted, in the order of their names. */
    public List<String> jobsWantingLateBids() {
        Set<String> jobs = new TreeSet<>(machineEvaluator.jobsOnSlowMachines());
        jobs.addAll(balancer.jobsWantingBids());
        return List.copyOf(jobs);
    }

    /** Machines to be scaled in, with nothing on them any more. */
    public List<String> decommissionedMachines() {
        return machineEvaluator.emptyDecommissioned();
    }

    /** Whether there are new ones among the quarantined jobs since this was last asked. */
    public boolean takeNewlyQuarantined() {
        return machineEvaluator.takeNewlyQuarantined();
    }

    /** Quarantined jobs, which fail on every machine: nothing is scaled out, preempted or kept from bidding on their account. */
    public Set<String> quarantinedJobs() {
        return context.failures().quarantinedJobs();
    }

    /** The load of the fleet when load balancing last ran; empty on a controller that doesn't lead, or while that is off. */
    public LoadSnapshot load() {
        return election.isLeading() ? balancer.load() : LoadSnapshot.EMPTY;
    }

    /** Tasks that this leader moved lately, oldest first; see {@link Move}. */
    public List<Move> recentMoves() {
        return election.isLeading() ? balancer.recentMoves() : List.of();
    }

    /** The numbers of the attempts that it places. */
    AttemptNumbers attempts() {
        return attempts;
    }
}

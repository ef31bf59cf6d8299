package garnetscale.core.leader;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.balance.LoadSnapshot;
import garnetscale.core.balance.Move;
import garnetscale.core.bidding.BidBatch;
import garnetscale.core.cluster.PartitionLease;
import garnetscale.core.cluster.PartitionMap;
import garnetscale.core.machine.MachineType;
import garnetscale.core.partition.MachineStatus;
import garnetscale.core.state.Keys;
import garnetscale.core.state.Records;
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
 * The leader: leases partitions to controllers, collects bids, enforces quotas and places tasks. It is the only writer of
 * placements and of finished tasks. It has at most one transaction in flight (see {@link TransactionPipeline}) and drafts each
 * one only from the replica and from what partition owners have published, so a lost response costs no more than a new draft.
 *
 * <p>Every controller has an instance. While its controller doesn't lead, an instance only checks whether its controller should
 * become the leader. Times are milliseconds of the steady clock.
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

    /**
     * Creates the leader of a controller that doesn't lead yet.
     *
     * @param log receives one line for each event of interest to operators
     */
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

    /**
     * Sets the id of this process's session lease. The id identifies the process from now on.
     *
     * @param lease the id of the granted session lease, or a negative number when it is lost; the process then has no identity
     *     and doesn't lead
     */
    public void onLeaseChanged(long lease) {
        election.onLeaseChanged(lease);
    }

    /** Returns the term under which this process leads according to the replica, or -1 if it doesn't lead. */
    public long leadingTerm() {
        return election.leadingTerm();
    }

    /**
     * Returns whether this controller leads according to the replica. If it leads under a new term, this method first begins
     * that term and discards everything known from an earlier one.
     */
    public boolean leads(long now) {
        if (election.updateTerm(now)) {
            beginTerm(now);
        }
        return election.isLeading();
    }

    private void beginTerm(long now) {
        attempts.beginTerm(election.term());
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

    /**
     * Returns the transaction that makes this controller the leader, or null if there is a leader that isn't known to be down.
     */
    public Transaction election(long now) {
        return election.elect(now);
    }

    /**
     * Returns the transaction by which this leader steps down, or null if it should keep leading. A leader steps down when the
     * numbers of its term are nearly exhausted or when no worker reaches it. Call this only while this controller leads.
     */
    public Transaction resignation(long now) {
        if (attempts.isNearlyExhausted() || partitionAssigner.isNearlyExhausted()) {
            return election.resignForNewTerm();
        }
        return election.resignIfIsolated(now, machines.values());
    }

    /** Returns the transaction to send after one whose outcome is unknown; see {@link LeaderElection#fence}. */
    public Transaction fence() {
        return election.fence();
    }

    // ---- messages

    /** Sets the offset in milliseconds that is added to the steady clock to get the wall-clock time since the Unix epoch. */
    public void setWallClockOffset(long offset) {
        wallClockOffset = offset;
    }

    /** Handles a change in the reachability of another controller: its process seems to be down, or is reachable again. */
    public void onPeerReachability(long now, String node, boolean down) {
        failureDetector.onPeerReachability(now, node, down);
    }

    /** Handles a controller's heartbeat, which reports whether workers reach that controller. */
    public void onWorkerReachability(long now, String node, boolean isolatedFromWorkers) {
        failureDetector.onWorkerReachability(node, isolatedFromWorkers);
        balancer.onControllerMessage(now, node);
    }

    /**
     * Handles a machine status published by a partition's owner. The status is ignored if this controller doesn't lead, or if
     * the sender no longer holds the partition's lease. It is accepted if the replica doesn't show the sender's lease yet: the
     * owner may learn of its lease, and publish, before the replica of the leader that assigned it shows the same lease.
     *
     * @return whether the status was accepted
     */
    public boolean onMachineStatus(long now, MachineStatus status) {
        if (!election.isLeading() || isOfFormerOwner(status)) {
            return false;
        }
        balancer.onControllerMessage(now, status.node());
        exitRecorder.onTerminated(status);
        if (status.type().isEmpty() || exitRecorder.isTerminated(status.machine())) {
            return true;
        }
        machines.computeIfAbsent(status.machine(), MachineState::new)
                .onStatus(now, status, replica, context.estimator());
        exitRecorder.onExits(status);
        return true;
    }

    /** Returns whether the replica shows that the sender of the status no longer holds the partition's lease. */
    private boolean isOfFormerOwner(MachineStatus status) {
        PartitionLease lease = replica.partition(status.partition());
        return lease != null
                && (lease.term() > status.term()
                        || lease.term() == status.term() && lease.incarnation() != status.incarnation());
    }

    /** Handles the bids that a controller submitted for its machines; ignored while this controller doesn't lead. */
    public void onBids(long now, BidBatch batch) {
        if (election.isLeading()) {
            context.auction().onBatch(now, batch);
        }
    }

    /**
     * Handles the cloud's proof that nothing runs on the machine any longer: the cloud answered a delete with 200, or lists the
     * machine as failed.
     */
    public void onMachineTerminated(String machine) {
        exitRecorder.onMachineTerminated(machine);
        machines.remove(machine);
    }

    /**
     * Handles a machine that disappeared from the cloud's instance list long ago. Lists lag behind, so this frees no placement.
     * It only removes the machine's record if that has no placements.
     */
    public void onMachineVanished(String machine) {
        if (replica.placements(machine).isEmpty()) {
            onMachineTerminated(machine);
        }
    }

    /** Handles an operator's request to change the cluster's version; see {@link UpgradePlanner#request}. */
    public UpgradeDecision upgrade(long now, UpgradeStep step) {
        return leads(now)
                ? upgrades.request(now, step)
                : new UpgradeDecision.Refused("this controller isn't the leader");
    }

    // ---- planning

    /**
     * Returns the transaction that stores the machine types, or null if some are stored or there are none to store. Call this only
     * while this controller leads.
     */
    public Transaction storeTypes(List<MachineType> types) {
        if (types.isEmpty() || !replica.types().isEmpty()) {
            return null;
        }
        return new Transaction()
                .guard(Keys.LEADER, replica.modRevision(Keys.LEADER))
                .guard(Keys.TYPES, replica.modRevision(Keys.TYPES))
                .put(Keys.TYPES, Records.types(types));
    }

    /** Returns the next transaction, or null if this controller doesn't lead or there is nothing to change. */
    public Transaction plan(long now) {
        if (!leads(now)) {
            return null;
        }
        context.auction().dropFormerOwners();
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

    /**
     * Returns the milliseconds until a bidding window closes, when planning may produce a transaction without any new input, or
     * -1 if there is no such time.
     */
    public long millisToNextPlan(long now) {
        return context.auction().msUntilNextClose(now);
    }

    // ---- queries

    /** Returns the status that each machine's owner last published. */
    public Collection<MachineStatus> machines() {
        List<MachineStatus> list = new ArrayList<>(machines.size());
        machines.values().forEach(machine -> list.add(machine.status));
        return list;
    }

    /** Returns the started jobs for which late bids are requested, sorted by id. */
    public List<String> jobsWantingLateBids() {
        Set<String> jobs = new TreeSet<>(machineEvaluator.jobsOnSlowMachines());
        jobs.addAll(balancer.jobsWantingBids());
        return List.copyOf(jobs);
    }

    /** Returns decommissioned machines without placements, which are ready to be scaled in. */
    public List<String> decommissionedMachines() {
        return machineEvaluator.emptyDecommissioned();
    }

    /** Returns whether jobs or tasks have been quarantined since the last call of this method. */
    public boolean takeNewlyQuarantined() {
        return machineEvaluator.takeNewlyQuarantined();
    }

    /**
     * Returns the quarantined jobs, which fail on every machine. No machines are added and no tasks are preempted for them, and
     * no machine is kept from bidding because of them.
     */
    public Set<String> quarantinedJobs() {
        return context.failures().quarantinedJobs();
    }

    /**
     * Returns the fleet's load as of the last load-balancing pass. Empty if this controller doesn't lead or load balancing is
     * off.
     */
    public LoadSnapshot load() {
        return election.isLeading() ? balancer.load() : LoadSnapshot.EMPTY;
    }

    /**
     * Returns the tasks that this leader moved recently, oldest first; see {@link Move}. Empty if this controller doesn't lead.
     */
    public List<Move> recentMoves() {
        return election.isLeading() ? balancer.recentMoves() : List.of();
    }

    /** Returns the numbering of the attempts that this leader places. */
    AttemptNumbers attempts() {
        return attempts;
    }
}

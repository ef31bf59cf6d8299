package garnetscale.core.partition;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.Times;
import garnetscale.core.bidding.Estimator;
import garnetscale.core.cluster.LeaderInfo;
import garnetscale.core.cluster.PartitionMap;
import garnetscale.core.machine.MachineAddress;
import garnetscale.core.machine.WorkerHeartbeat;
import garnetscale.core.state.StateReplica;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

/**
 * Owns this controller's partitions and is the only component that commands the machines in them. Reconciles each machine with
 * its stored placements, publishes machine status to the leader and submits the machines' bids.
 *
 * <p>Reconciliation is level-triggered: commands are derived from state, not from events. Even if messages are lost, late or
 * repeated, the next heartbeat and the next revision of the replica lead to the same commands. An attempt without a placement is
 * stopped and cleared, and an attempt with a placement is started. An attempt that must no longer run is reported as terminated
 * only on proof (see {@link TerminationProof}).
 *
 * <p>This class only coordinates: it calls its modules in a fixed order. All times are milliseconds of the steady clock.
 */
public final class PartitionOwner {

    /** Number of sweeps over all machines per heartbeat interval. A sweep handles changes that are caused by time alone. */
    private static final int SWEEPS_PER_HEARTBEAT = 4;

    private final SchedulerConfig config;
    private final StateReplica replica;
    /**
     * Machines of the owned partitions by name. The modules share this map; each constructor documents what its module
     * changes.
     */
    private final Map<String, MachineView> machines = new TreeMap<>();

    private final List<OwnerEffect> effects = new ArrayList<>();
    private final WorkerRequestLimiter requests;
    private final Reachability reachability;
    private final PartitionLeases leases;
    private final DesiredPlacements desired;
    private final HeartbeatIntake intake;
    private final TerminationProof termination;
    private final CommandReconciler reconciler;
    private final WorkerProbes probes;
    private final MachineAdoption adoption;
    private final StatusPublisher status;
    private final BidSubmitter bids;
    private final WorkerMessageHandler workerMessages;
    private LeaderInfo publishedTo;
    private long sweptAt = Times.NEVER;

    /** Creates an owner without partitions. It reads {@code replica} and updates {@code estimator}. */
    public PartitionOwner(SchedulerConfig config, StateReplica replica, PartitionMap partitions, Estimator estimator) {
        this.config = config;
        this.replica = replica;
        this.requests = new WorkerRequestLimiter(config.maxConcurrentWorkerRequests());
        this.reachability = new Reachability(config);
        this.leases = new PartitionLeases(config, replica, partitions, machines, requests);
        this.desired = new DesiredPlacements(config, replica, machines);
        this.intake = new HeartbeatIntake(config, replica, estimator, machines);
        this.termination = new TerminationProof(config, replica, desired);
        this.reconciler = new CommandReconciler(config, replica, desired, requests, effects);
        this.probes = new WorkerProbes(config, partitions, leases, machines, requests, reachability, effects);
        this.adoption = new MachineAdoption(replica, partitions, leases, probes, machines);
        this.status = new StatusPublisher(config, replica, leases, effects);
        this.bids = new BidSubmitter(
                config, replica, estimator, leases, machines, intake.quarantinedJobs(), reachability, effects);
        this.workerMessages = new WorkerMessageHandler(
                partitions, leases, machines, reachability, intake, termination, reconciler, probes, status, bids);
    }

    /** Returns the effects added since the last call, in the order in which they must be carried out, and removes them. */
    public List<OwnerEffect> drainEffects() {
        List<OwnerEffect> drained = List.copyOf(effects);
        effects.clear();
        return drained;
    }

    /**
     * Records a new session lease of this process, or the loss of the lease. Partitions owned under an earlier session lease are
     * no longer its own.
     *
     * @param lease the id of the session lease, or a negative number when it is lost; then no partition is its own
     */
    public void onLeaseChanged(long lease) {
        leases.onLeaseChanged(lease);
    }

    /** Records that the replica contains everything that was stored when a request was sent at {@code sentAt}. */
    public void onReplicaConfirmed(long sentAt) {
        leases.onReplicaConfirmed(sentAt);
    }

    /**
     * Sets whether this process lags behind its work. Probes are then sent one at a time: nearly every worker's next heartbeat
     * shows what the probe would return, and probes delay heartbeats and user requests, which need the same processor.
     */
    public void setLagging(boolean lagging) {
        requests.setLagging(lagging);
    }

    /** Sets the milliseconds to add to the steady clock to get the wall-clock time, which job records carry. */
    public void setWallClockOffset(long offset) {
        bids.setWallClockOffset(offset);
    }

    /**
     * Handles a worker's heartbeat and returns the reply. Only an acknowledgement renews the worker's lease. Call this only while
     * the replica is loaded.
     */
    public HeartbeatReply onHeartbeat(long now, WorkerHeartbeat heartbeat) {
        refreshPartitions(now);
        return workerMessages.onHeartbeat(now, heartbeat);
    }

    /**
     * Handles a worker's answer to a direct command, whether the worker executed or rejected the command. The answer has the
     * form of a heartbeat but doesn't renew the worker's lease. The answer of a machine that is no longer known updates no
     * machine.
     */
    public void onCommandAnswer(long now, String machine, long fencingToken, WorkerHeartbeat heartbeat) {
        workerMessages.onCommandAnswer(now, machines.get(machine), heartbeat);
    }

    /** Handles a direct command under {@code fencingToken} that went unanswered and may still arrive, minutes from now. */
    public void onCommandLost(long now, String machine, long fencingToken) {
        reconciler.onCommandLost(machines.get(machine), fencingToken);
    }

    /** Handles a worker's answer to a probe. The answer has the form of a heartbeat but doesn't renew the worker's lease. */
    public void onProbeAnswer(long now, WorkerHeartbeat heartbeat) {
        workerMessages.onProbeAnswer(now, heartbeat);
    }

    /** Handles the end of a probe, answered or not. The probe no longer counts as in flight. */
    public void onProbeEnded() {
        requests.onProbeEnded();
    }

    /**
     * Handles the machine directory from the leader.
     *
     * @param directory all machines of the cluster
     * @param lateBidJobs started jobs for which the leader accepts late bids
     * @param quarantinedJobs jobs that the leader has quarantined because they fail on every machine
     */
    public void onMachineDirectory(
            List<MachineAddress> directory, List<String> lateBidJobs, List<String> quarantinedJobs) {
        intake.onQuarantinedJobs(quarantinedJobs);
        bids.onLateBidJobs(lateBidJobs);
        probes.onMachineDirectory(directory);
        sweptAt = Times.NEVER;
    }

    /**
     * Handles a peer's report that a user cancelled a job. The job's attempts are stopped without waiting until the replica
     * shows the cancellation.
     */
    public void onCancelled(String job) {
        desired.onCancelled(job);
    }

    /** Returns whether the job is quarantined because it fails on every machine, as far as this owner knows. */
    public boolean isQuarantined(String job) {
        return intake.quarantinedJobs().contains(job);
    }

    /**
     * Returns whether no worker can reach this controller, as far as it can detect. Its partitions should then move to other
     * owners.
     */
    public boolean isIsolatedFromWorkers() {
        return reachability.isIsolatedFromWorkers();
    }

    /**
     * Returns the milliseconds, at least 1, until pending bids may be submitted, or -1 if no bids are pending or no partition
     * is owned.
     */
    public long msUntilNextBids(long now) {
        return bids.msUntilDue(now);
    }

    /** Returns a live view of the names of the machines in this owner's partitions, for inspection. */
    public Collection<String> machineNames() {
        return machines.keySet();
    }

    /**
     * Reconciles the machines about which something new is known, sends queued probes and submits bids that are due. Each
     * sweep also reconciles the machines whose state may change with time alone: silent machines and machines with pending
     * work. While this process may not act for its partitions, only updates the set of owned partitions. Does nothing while the
     * replica isn't loaded: partitions and placements that it lacks aren't lost.
     */
    public void tick(long now) {
        if (!replica.isLoaded()) {
            return;
        }
        refreshPartitions(now);
        if (!leases.mayAct(now)) {
            return;
        }
        republishToNewLeader();
        adoption.applyReplicaChanges();
        boolean isSweepDue = now - sweptAt >= config.heartbeatIntervalMs() / SWEEPS_PER_HEARTBEAT;
        if (isSweepDue) {
            sweep(now);
        }
        probes.sendQueued(now);
        probes.checkReachability(now);
        for (MachineView machine : machines.values()) {
            if (machine.needsReconcile || isSweepDue && needsSweepReconcile(now, machine)) {
                reconcile(now, machine, leases.owned(machine.partition));
            }
        }
        bids.submitIfDue(now);
    }

    /** Publishes all status and bids again, because the connection to the leader is new, and ticks. */
    public void resynchronize(long now) {
        forgetPublished();
        tick(now);
    }

    private void refreshPartitions(long now) {
        if (leases.refresh(now)) {
            sweptAt = Times.NEVER;
        }
    }

    /**
     * Publishes all status and bids again when the replica shows a new leader. Effects are sent to the replica's leader, and a
     * peer's message about a new leader may arrive before the replica shows it. When this owner reacted to the message, it
     * sent the status to the old leader, and the new leader took idle machines for silent and scaled them in.
     */
    private void republishToNewLeader() {
        if (!Objects.equals(publishedTo, replica.leader())) {
            publishedTo = replica.leader();
            forgetPublished();
        }
    }

    private void forgetPublished() {
        machines.values().forEach(machine -> {
            machine.publishedStatus = null;
            machine.needsReconcile = true;
        });
        bids.forgetSubmitted();
        sweptAt = Times.NEVER;
    }

    private void sweep(long now) {
        sweptAt = now;
        // Time alone lets machines of scarce types bid for more jobs, ends cordons and changes the order of queues.
        bids.markStale();
        adoption.adoptAll();
        bids.retainOwnedMachines();
        probes.probeSilentMachines(now);
    }

    private boolean needsSweepReconcile(long now, MachineView machine) {
        return machine.hasPendingWork || machine.isSilent(now, config.heartbeatIntervalMs());
    }

    private void reconcile(long now, MachineView machine, OwnedPartition owned) {
        if (machine.needsReconcile) {
            bids.markStale();
        }
        machine.needsReconcile = false;
        machine.hasPendingWork = false;
        termination.expire(now, machine, owned);
        termination.proveTerminated(machine, owned);
        if (machine.hasLiveEpoch()) {
            intake.updateEstimate(now, machine);
            reconciler.sendCommands(now, machine, owned);
        }
        status.publish(now, machine, owned);
    }
}

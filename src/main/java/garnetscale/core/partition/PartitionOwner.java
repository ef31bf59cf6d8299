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
 * The owner of this controller's partitions: the only one that commands their machines. It brings each machine to what the
 * stored placements say, publishes the status of machines to the leader, and bids for them.
 *
 * <p>It works by state, not by events: whatever was lost, late or repeated, the next heartbeat and the next revision lead to
 * the same commands. An attempt that isn't placed is stopped and cleared, one that is placed is started, and one that must not
 * run any more is called terminated only on proof (see {@link TerminationProof}).
 *
 * <p>This class only coordinates: it calls its modules in a fixed order. All times are milliseconds of the steady clock.
 */
public final class PartitionOwner {

    /** Sweeps over all machines in a heartbeat interval, for what time alone may change. */
    private static final int SWEEPS_PER_HEARTBEAT = 4;

    private final SchedulerConfig config;
    private final StateReplica replica;
    /** Machines of the owned partitions by name; shared by the modules, each of which says what it changes. */
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

    /** Creates an owner without partitions; it reads {@code replica} and teaches {@code estimator}. */
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
                config, replica, estimator, leases, machines, intake.suspectJobs(), reachability, effects);
        this.workerMessages = new WorkerMessageHandler(
                partitions, leases, machines, reachability, intake, termination, reconciler, probes, status, bids);
    }

    /** Takes the effects since the last call, in the order in which they are to be carried out. */
    public List<OwnerEffect> drainEffects() {
        List<OwnerEffect> drained = List.copyOf(effects);
        effects.clear();
        return drained;
    }

    /** The process has a new state lease; partitions owned under an earlier one are no longer its own. */
    public void onLeaseGranted(long lease) {
        leases.onLeaseGranted(lease);
    }

    /** The replica is complete as of a request that was sent at this time. */
    public void onReplicaConfirmed(long sentAt) {
        leases.onReplicaConfirmed(sentAt);
    }

    /**
     * Sets whether the process is late with its work. Probes then go out one at a time: nearly every worker shows by its next
     * heartbeat what the probe would tell, and heartbeats and users wait for the same processor.
     */
    public void setLagging(boolean late) {
        requests.setLagging(late);
    }

    /** The difference between the time of day, which job records carry, and the steady clock. */
    public void setWallClockOffset(long offset) {
        bids.setWallClockOffset(offset);
    }

    /** Handles a worker's heartbeat; only an acknowledgement renews the worker's lease. */
    public HeartbeatReply onHeartbeat(long now, WorkerHeartbeat heartbeat) {
        refreshPartitions(now);
        return workerMessages.onHeartbeat(now, heartbeat);
    }

    /**
     * A worker answered a direct command, executed or rejected, by its heartbeat; this doesn't renew its lease. Answers of a
     * machine that isn't known any more have no effect.
     */
    public void onCommandAnswer(long now, String machine, long fencingToken, WorkerHeartbeat heartbeat) {
        workerMessages.onCommandAnswer(now, machines.get(machine), heartbeat);
    }

    /** A direct command under the token went unanswered and may still arrive, minutes from now. */
    public void onCommandLost(long now, String machine, long fencingToken) {
        reconciler.onCommandLost(machines.get(machine), fencingToken);
    }

    /** A worker answered a probe by its heartbeat; this doesn't renew its lease. */
    public void onProbeAnswer(long now, WorkerHeartbeat heartbeat) {
        workerMessages.onProbeAnswer(now, heartbeat);
    }

    /** A probe has ended, answered or not; it no longer counts as in flight. */
    public void onProbeEnded() {
        requests.onProbeEnded();
    }

    /** The leader's list of all machines, the started jobs it takes late bids for, and the jobs that fail everywhere. */
    public void onMachineDirectory(List<MachineAddress> directory, List<String> lateBidJobs, List<String> suspectJobs) {
        intake.onSuspectJobs(suspectJobs);
        bids.onLateBidJobs(lateBidJobs);
        probes.onMachineDirectory(directory);
        sweptAt = Times.NEVER;
    }

    /** A peer has cancelled a job for its user; its attempts are stopped without waiting for the replica to show it. */
    public void onCancelled(String job) {
        desired.onCancelled(job);
    }

    /** Whether the job fails wherever it runs, as far as is known here. */
    public boolean isSuspect(String job) {
        return intake.suspectJobs().contains(job);
    }

    /** Whether no worker can reach this controller, as far as it can tell; its partitions are better off elsewhere. */
    public boolean isIsolatedFromWorkers() {
        return reachability.isIsolatedFromWorkers();
    }

    /** Milliseconds until bids that were put off are due, or -1 if there are none. */
    public long msUntilNextBids(long now) {
        return bids.msUntilDue(now);
    }

    /** Names of the machines in this owner's partitions, for inspection; a live view. */
    public Collection<String> machineNames() {
        return machines.keySet();
    }

    /**
     * Reconciles the machines of which something new is known, and in each sweep also those for which time alone may bring
     * something, the silent ones and those with pending work. Does nothing while this process may not act.
     */
    public void tick(long now) {
        refreshPartitions(now);
        if (!leases.mayAct(now)) {
            return;
        }
        republishToNewLeader();
        adoption.followReplica();
        boolean isSweepDue = now - sweptAt >= config.heartbeatIntervalMs() / SWEEPS_PER_HEARTBEAT;
        if (isSweepDue) {
            sweep(now);
        }
        probes.sendQueued(now);
        probes.checkReachability(now);
        for (MachineView machine : machines.values()) {
            if (machine.needsReconcile || isSweepDue && isAttentionDue(now, machine)) {
                reconcile(now, machine, leases.owned(machine.partition));
            }
        }
        bids.submitIfDue(now);
    }

    /** Publishes everything again, for a leader whose connection is new, and ticks. */
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
     * The leader is the replica's, as for whoever carries out the effects: a peer's word of a new leader may come before it.
     * What was published then went to the old one, and the new one took idle machines for silent and scaled them in.
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
        // Time alone opens scarce types, uncordons machines and changes the order of queues.
        bids.markStale();
        adoption.adoptAll();
        bids.retainOwnedMachines();
        probes.probeSilentMachines(now);
    }

    private boolean isAttentionDue(long now, MachineView machine) {
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

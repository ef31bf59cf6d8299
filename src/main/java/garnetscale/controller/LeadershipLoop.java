package garnetscale.controller;

import garnetscale.core.Times;
import garnetscale.core.autoscaling.Autoscaler;
import garnetscale.core.autoscaling.CloudCall;
import garnetscale.core.leader.Leader;
import garnetscale.core.leader.TransactionPipeline;
import garnetscale.core.machine.MachineType;
import garnetscale.core.state.Keys;
import garnetscale.core.state.Records;
import garnetscale.core.state.Transaction;
import garnetscale.core.state.TransactionOutcome;
import garnetscale.peer.PeerMessage;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs the leader's part of a cycle: stands for election while there is no leader; as leader, calls the cloud, publishes the
 * machine directory and sends the leader's transactions. Confined to the event loop.
 */
final class LeadershipLoop implements CloudLink.Listener {

    private static final Logger LOG = LoggerFactory.getLogger(LeadershipLoop.class);
    /** Minimum interval between runs of the autoscaler while it has no call to make. */
    private static final long AUTOSCALER_INTERVAL_MS = 2 * EventLoopPacer.TICK_MS;
    /**
     * Extra pause after a run of the autoscaler without a call, as a multiple of the run's duration; at most
     * {@link #AUTOSCALER_INTERVAL_MS}.
     */
    private static final long AUTOSCALER_PAUSE_FACTOR = 200;
    /** The autoscaler runs only while the replica is younger than this. */
    private static final long AUTOSCALER_MAX_STATE_AGE_MS = 3000;
    /**
     * Interval at which an unchanged machine directory is published again: a late message of a deposed leader may have replaced it
     * at a receiver.
     */
    private static final long DIRECTORY_REFRESH_MS = 15_000;
    /** Candidates wait for a random time below this, so that usually one is elected before the others send their transaction. */
    private static final long MAX_ELECTION_DELAY_MS = 150;

    /** Pauses before the leader's next transaction; a conflict counts as a success here. */
    private static final long PAUSE_AFTER_SUCCESS_MS = 10;

    private static final long MIN_PAUSE_AFTER_FAILURE_MS = 100;
    private static final long PAUSE_JITTER_MS = 100;

    private final ControllerContext context;
    private final Leader leader;
    private final Autoscaler autoscaler;
    private final StateLink state;
    private final CloudLink cloud;
    private final PeerMessageHandler peers;
    private final OwnerEffectExecutor effects;
    private final JobApi jobApi;
    private final TransactionPipeline pipeline;
    private long lease = -1;
    /** The term under which this process has taken leadership, or -1. */
    private long leadingTerm = -1;

    private boolean electionPending;
    private long autoscaledAt = Times.NEVER;
    /** The machine types that the cloud offers, empty until it has listed them; stored while the replica has none. */
    private List<MachineType> cloudTypes = List.of();

    private PeerMessage.MachineDirectory publishedDirectory;
    private long publishedDirectoryAt = Times.NEVER;

    LeadershipLoop(
            ControllerContext context,
            StateLink state,
            CloudLink cloud,
            PeerMessageHandler peers,
            OwnerEffectExecutor effects,
            JobApi jobApi) {
        this.context = context;
        this.leader = context.leader();
        this.autoscaler = context.autoscaler();
        this.state = state;
        this.cloud = cloud;
        this.peers = peers;
        this.effects = effects;
        this.jobApi = jobApi;
        this.pipeline = new TransactionPipeline(context.replica(), leader);
    }

    /**
     * Records the session lease that this process is registered under.
     *
     * @param newLease the id of the session lease, or a negative number when it is lost
     */
    void onLeaseChanged(long newLease) {
        lease = newLease;
    }

    /** Runs the leader's part of a cycle that began at {@code now}. */
    void run(long now) {
        if (lease < 0) {
            return;
        }
        if (!leader.leads(now)) {
            leadingTerm = -1;
            standForElection();
            return;
        }
        if (leader.leadingTerm() != leadingTerm) {
            takeLeadership(now);
        }
        autoscale(now);
        if (leader.takeNewlyQuarantined()) {
            publishMachineDirectory();
        }
        transact(now);
    }

    // ---- election

    private void standForElection() {
        if (electionPending || state.failing()) {
            return;
        }
        if (leader.election(EventLoopPacer.now()) == null) {
            return;
        }
        electionPending = true;
        context.eventLoop()
                .schedule(
                        this::sendElection,
                        ThreadLocalRandom.current().nextLong(MAX_ELECTION_DELAY_MS),
                        TimeUnit.MILLISECONDS);
    }

    private void sendElection() {
        Transaction election = leader.election(EventLoopPacer.now());
        if (election == null || lease < 0) {
            electionPending = false;
            return;
        }
        state.send(
                election,
                (outcome, revision) -> state.sync(upToDate -> {
                    electionPending = false;
                    context.pacer().requestCycle();
                }));
    }

    private void takeLeadership(long now) {
        leadingTerm = leader.leadingTerm();
        pipeline.restart();
        autoscaler.start(now, leadingTerm);
        publishedDirectory = null;
        peers.checkPeersAndSendHeartbeat();
        context.owner().resynchronize(now);
        effects.drain();
    }

    // ---- cloud

    private void autoscale(long now) {
        if (state.ageMs() >= AUTOSCALER_MAX_STATE_AGE_MS
                || !cloud.ready(now)
                || now - autoscaledAt < AUTOSCALER_INTERVAL_MS) {
            return;
        }
        autoscaledAt = now;
        CloudCall[] next = new CloudCall[1];
        context.profile()
                .run(
                        EventLoopProfile.Activity.AUTOSCALER,
                        () -> next[0] = autoscaler.next(
                                now, leader.machines(), leader.decommissionedMachines(), leader.quarantinedJobs()));
        CloudCall call = next[0];
        autoscaledAt += Math.min(AUTOSCALER_INTERVAL_MS, AUTOSCALER_PAUSE_FACTOR * (EventLoopPacer.now() - now));
        if (call != null) {
            autoscaledAt = now - AUTOSCALER_INTERVAL_MS;
            cloud.call(now, call, this);
        }
    }

    @Override
    public void onTypes(List<MachineType> types) {
        cloudTypes = types;
        context.pacer().requestCycle();
    }

    @Override
    public void onTerminated(String machine) {
        leader.onMachineTerminated(machine);
        context.pacer().requestCycle();
    }

    @Override
    public void onListed() {
        autoscaler
                .takeVanishedInstances(EventLoopPacer.now(), leader.machines())
                .forEach(leader::onMachineVanished);
        publishMachineDirectory();
    }

    /** Publishes the addresses of all machines, so that partition owners can take over from a dead controller at once. */
    private void publishMachineDirectory() {
        PeerMessage.MachineDirectory directory = peers.machineDirectory();
        long now = EventLoopPacer.now();
        if (!directory.equals(publishedDirectory) || now - publishedDirectoryAt >= DIRECTORY_REFRESH_MS) {
            publishedDirectory = directory;
            publishedDirectoryAt = now;
            context.owner()
                    .onMachineDirectory(directory.machines(), directory.lateBidJobs(), directory.quarantinedJobs());
            peers.sendAll(directory);
            context.pacer().requestCycle();
        }
    }

    // ---- transactions

    private void transact(long now) {
        if (state.failing()) {
            // Nothing would be stored, and a plan from a stale replica would be wrong.
            return;
        }
        long planAt = context.pacer().nextPlanAt();
        if (now < planAt) {
            context.pacer().requestCycleAt(planAt);
            return;
        }
        Transaction transaction = pipeline.next(() -> plan(now));
        if (transaction == null) {
            long waitMs = leader.millisToNextPlan(now);
            if (waitMs > 0) {
                context.pacer().requestCycleAt(now + waitMs);
            }
            return;
        }
        LOG.debug("leader sends transaction, transaction={}", transaction);
        state.sendAsLeader(transaction, (outcome, revision) -> onTransactionEnded(transaction, outcome, revision));
    }

    private Transaction plan(long now) {
        context.pacer().planStarted(now);
        Transaction types = leader.storeTypes(cloudTypes);
        if (types != null) {
            return types;
        }
        Transaction resignation = leader.leads(now) ? leader.resignation(now) : null;
        Transaction transaction = resignation != null ? resignation : leader.plan(now);
        context.pacer().planEnded(transaction == null);
        return transaction;
    }

    private void onTransactionEnded(Transaction transaction, TransactionOutcome outcome, long revision) {
        pipeline.ended(outcome, revision);
        if (outcome != TransactionOutcome.REFUSED) {
            state.sync(upToDate -> context.pacer().requestCycle());
        }
        context.eventLoop()
                .schedule(
                        () -> {
                            pipeline.ready();
                            context.pacer().requestCycle();
                        },
                        pauseAfter(outcome),
                        TimeUnit.MILLISECONDS);
        if (outcome == TransactionOutcome.OK) {
            transaction.ops().forEach(this::publishIfTerminated);
        }
    }

    private static long pauseAfter(TransactionOutcome outcome) {
        return outcome == TransactionOutcome.OK || outcome == TransactionOutcome.CONFLICT
                ? PAUSE_AFTER_SUCCESS_MS
                : MIN_PAUSE_AFTER_FAILURE_MS + ThreadLocalRandom.current().nextLong(PAUSE_JITTER_MS);
    }

    /** Publishes a job's end to all controllers, so that they can answer users without a request to the state service. */
    private void publishIfTerminated(Transaction.Op op) {
        String job = Keys.terminalJobOfKey(op.key());
        if (job != null) {
            Records.TerminalJob how = Records.terminalJob(op.value());
            jobApi.onTerminated(job, how);
            peers.sendAll(new PeerMessage.JobTerminated(job, how));
        }
    }
}

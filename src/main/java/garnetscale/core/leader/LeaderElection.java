package garnetscale.core.leader;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.Times;
import garnetscale.core.cluster.LeaderInfo;
import garnetscale.core.state.Keys;
import garnetscale.core.state.Records;
import garnetscale.core.state.StateReplica;
import garnetscale.core.state.Transaction;
import java.util.Collection;
import java.util.function.Consumer;

/**
 * Decides when this controller becomes the leader, deposes a leader whose process is down, or resigns. The leader is the
 * controller that the leader key in the state service names. The key is attached to that controller's lease in the state
 * service, so it is deleted when the process dies.
 */
final class LeaderElection {

    /** Term of a controller that doesn't lead. */
    static final long NO_TERM = -1;

    /** Incarnation of a process that holds no lease: none has been granted yet, or the last one was lost. */
    private static final long NO_INCARNATION = -1;
    /** Controller leases for which a leader must have been visible in the replica before it may be deposed. */
    private static final int LEASES_BEFORE_DEPOSING = 4;
    /**
     * Time for which a leader that resigned because no worker reached it leaves the leadership to other controllers, in
     * multiples of the isolation timeout.
     */
    private static final int ISOLATION_TIMEOUTS_AFTER_RESIGNING = 4;

    private final SchedulerConfig config;
    private final StateReplica replica;
    private final PeerFailureDetector failureDetector;
    private final Consumer<String> log;

    /** ID of this process's lease in the state service, or {@link #NO_INCARNATION}. */
    private long incarnation = NO_INCARNATION;
    /** Time before which this controller isn't a candidate, unless it is the only controller. */
    private long candidateFrom = Times.NEVER;

    /** Term of the leadership that this process has taken up, or {@link #NO_TERM}. */
    private long term = NO_TERM;
    /** When the term that was last taken up began. */
    private long leadingSince;

    /** Leader in the replica when this was last checked, or null if there was none. */
    private LeaderInfo lastSeenLeader;
    /** When {@link #lastSeenLeader} was first seen. */
    private long lastSeenLeaderSince;

    LeaderElection(
            SchedulerConfig config, StateReplica replica, PeerFailureDetector failureDetector, Consumer<String> log) {
        this.config = config;
        this.replica = replica;
        this.failureDetector = failureDetector;
        this.log = log;
    }

    /**
     * Sets the ID of the lease that this process holds in the state service. The ID identifies the process from now on.
     *
     * @param lease the ID of the granted lease, or a negative number when the lease is lost; the process then has no identity
     *     and doesn't lead
     */
    void onLeaseChanged(long lease) {
        incarnation = lease;
    }

    /** Returns the term under which this process leads according to the replica, or {@link #NO_TERM}. */
    long leadingTerm() {
        LeaderInfo leader = replica.leader();
        return leader != null && leader.node().equals(config.self()) && leader.incarnation() == incarnation
                ? leader.term()
                : NO_TERM;
    }

    /**
     * Updates the term from the replica. Returns true if this process takes up leadership by this call, under a term that it
     * hasn't led under before.
     */
    boolean updateTerm(long now) {
        long currentTerm = leadingTerm();
        boolean isNewTerm = currentTerm != NO_TERM && currentTerm != term;
        term = currentTerm;
        if (isNewTerm) {
            leadingSince = now;
        }
        return isNewTerm;
    }

    /** Returns the term of the leadership that was taken up, or {@link #NO_TERM}. */
    long term() {
        return term;
    }

    /** Returns whether this process led when the term was last updated from the replica. */
    boolean isLeading() {
        return term != NO_TERM;
    }

    /**
     * Returns the transaction that makes this controller the leader, or null if the current leader stays or this controller
     * isn't a candidate at present. The term comes from a counter that the same transaction increments, so no two leaders share
     * a term.
     */
    Transaction elect(long now) {
        LeaderInfo leader = replica.leader();
        // A leader key left by an earlier process of this controller is replaced at once, because a controller runs
        // one process at a time.
        boolean isOfEarlierProcess =
                leader != null && leader.node().equals(config.self()) && leader.incarnation() != incarnation;
        boolean isDown = isLeaderDown(now);
        if (now < candidateFrom && replica.controllers().size() > 1) {
            return null;
        }
        if (leader != null && !isOfEarlierProcess && !isDown) {
            return null;
        }
        long newTerm = replica.termCounter() + 1;
        return new Transaction()
                .guard(Keys.LEADER, replica.modRevision(Keys.LEADER))
                .guard(Keys.TERM, replica.modRevision(Keys.TERM))
                .put(Keys.TERM, Records.term(newTerm))
                .put(Keys.LEADER, Records.leader(new LeaderInfo(config.self(), incarnation, newTerm)), incarnation);
    }

    /**
     * Returns whether to depose the current leader before its lease expires. This is safe at any time, because every
     * transaction of a leader is guarded by the key that this replaces.
     *
     * <p>Three rules keep two controllers from deposing each other over and over. Only a recent suspicion counts, because a
     * process that is still live a controller lease after it was suspected wasn't down. A suspicion doesn't count if a recent
     * suspicion of the same controller turned out to be false. Nor does it count if all other controllers are suspected at
     * once: then the network is at fault, and the state service knows better which processes are alive. The last two rules
     * don't protect a leader that no worker reaches, since deposing it loses nothing.
     */
    private boolean isLeaderDown(long now) {
        LeaderInfo leader = replica.leader();
        if (leader == null || !leader.equals(lastSeenLeader)) {
            lastSeenLeader = leader;
            lastSeenLeaderSince = now;
        }
        if (leader == null
                || !failureDetector.isIsolatedFromWorkers(leader.node())
                        && (failureDetector.suspectsAll() || failureDetector.wasFalselySuspected(now, leader.node()))) {
            return false;
        }
        return failureDetector.isRecentlySuspected(now, leader.node())
                && now - lastSeenLeaderSince > LEASES_BEFORE_DEPOSING * config.controllerLeaseMs();
    }

    /**
     * Returns the transaction by which this leader steps down because the numbers of its term are nearly exhausted. A new term
     * is needed, under this controller or another.
     */
    Transaction resignForNewTerm() {
        log.accept("resigning leadership: the numbers of the term are nearly exhausted, term=" + term);
        return resignation();
    }

    /**
     * Returns the transaction by which a leader that no worker reaches steps down, so that a controller that workers may reach
     * can take over. Returns null if some machine sends heartbeats, if there is no other controller, or if it is too early to
     * tell.
     */
    Transaction resignIfIsolated(long now, Collection<MachineState> machines) {
        boolean isIsolated = machines.stream().allMatch(machine -> machine.status.silent());
        long timeoutMs = failureDetector.isolationTimeoutMs();
        if (!isIsolated
                || machines.isEmpty()
                || replica.controllers().size() < 2
                || now - leadingSince < timeoutMs
                || now < candidateFrom) {
            return null;
        }
        candidateFrom = now + ISOLATION_TIMEOUTS_AFTER_RESIGNING * timeoutMs;
        log.accept("resigning leadership: no machine sends heartbeats, term=" + term + " machines=" + machines.size());
        return resignation();
    }

    private Transaction resignation() {
        return new Transaction()
                .guard(Keys.LEADER, replica.modRevision(Keys.LEADER))
                .delete(Keys.LEADER);
    }

    /**
     * Returns a transaction that changes nothing but the leader key's modRevision. It is sent after a transaction whose outcome
     * is unknown. Once the fence is applied, that transaction either has been applied, and the replica will show it, or will
     * never be.
     */
    Transaction fence() {
        return new Transaction()
                .guard(Keys.LEADER, replica.modRevision(Keys.LEADER))
                .put(Keys.LEADER, Records.leader(replica.leader()), incarnation);
    }
}

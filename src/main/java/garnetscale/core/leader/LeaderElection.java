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
 * Decides when this controller takes leadership, deposes a leader whose process is down, or resigns. The leader is whoever the
 * leader key in the state service names; it is written with a lease, so that it goes when its process does.
 */
final class LeaderElection {

    /** The term of a controller that doesn't lead. */
    static final long NO_TERM = -1;

    /** The incarnation of a process that hasn't been granted a lease yet. */
    private static final long NO_INCARNATION = -1;
    /** A leader is in sight for so many controller leases before it may be deposed. */
    private static final int LEASES_BEFORE_DEPOSING = 4;
    /** How long a leader that resigned leaves it to others, in multiples of the time that it was patient for. */
    private static final int PAUSE_AFTER_RESIGNING = 4;

    private final SchedulerConfig config;
    private final StateReplica replica;
    private final PeerFailureDetector failureDetector;
    private final Consumer<String> log;

    /** This process's lease in the state service. */
    private long incarnation = NO_INCARNATION;
    /** No election before this time. */
    private long candidateFrom = Times.NEVER;

    /** The term of the leadership that this process has taken up, or {@link #NO_TERM}, and since when it leads. */
    private long term = NO_TERM;

    private long leadingSince;

    private LeaderInfo lastSeenLeader;
    private long lastSeenLeaderSince;

    LeaderElection(
            SchedulerConfig config, StateReplica replica, PeerFailureDetector failureDetector, Consumer<String> log) {
        this.config = config;
        this.replica = replica;
        this.failureDetector = failureDetector;
        this.log = log;
    }

    /** The state service granted this process a lease, which identifies it from now on. */
    void onLeaseGranted(long lease) {
        incarnation = lease;
    }

    /** The term that this process leads under by the replica, or {@link #NO_TERM}. */
    long leadingTerm() {
        LeaderInfo leader = replica.leader();
        return leader != null && leader.node().equals(config.self()) && leader.incarnation() == incarnation
                ? leader.term()
                : NO_TERM;
    }

    /** Follows the replica; true when this process now takes up leadership, under a term that it hasn't led under before. */
    boolean takeUp(long now) {
        long termNow = leadingTerm();
        boolean isNewTerm = termNow != NO_TERM && termNow != term;
        term = termNow;
        if (isNewTerm) {
            leadingSince = now;
        }
        return isNewTerm;
    }

    /** The term of the leadership that was taken up, or {@link #NO_TERM}. */
    long term() {
        return term;
    }

    /** Whether this process led when it last looked. */
    boolean isLeading() {
        return term != NO_TERM;
    }

    /**
     * The transaction that makes this controller the leader, or null when there is one. The term comes from a counter that
     * the same transaction raises, so no two leaders share one.
     */
    Transaction elect(long now) {
        LeaderInfo leader = replica.leader();
        // A leader key of this controller's earlier process is replaced at once: a controller runs one process at a
        // time.
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
     * Whether to depose the present leader before its lease expires. Safe at any time, since every transaction of a leader is
     * guarded by the key that this replaces. So that two controllers don't go on deposing each other, only a fresh suspicion
     * counts: who outlives it by a lease wasn't down. Neither does one that was wrong a while ago, or that is of all others at
     * once: then it is the network, and the state service knows better who lives. A leader that no worker reaches is no loss.
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
        return failureDetector.isFreshlySuspected(now, leader.node())
                && now - lastSeenLeaderSince > LEASES_BEFORE_DEPOSING * config.controllerLeaseMs();
    }

    /** Steps down because the leader's term has no numbers left: a new term is needed, this controller's or another's. */
    Transaction resignForNewTerm() {
        log.accept("resigning leadership: the numbers of the term are used up, term=" + term);
        return resignation();
    }

    /**
     * The transaction by which a leader that no worker reaches makes room for one that may do better; null while some machine
     * sends heartbeats, there is no other controller, or it is too early to tell.
     */
    Transaction resignIfIsolated(long now, Collection<MachineState> machines) {
        boolean isIsolated = machines.stream().allMatch(machine -> machine.status.silent());
        long patienceMs = failureDetector.isolationPatienceMs();
        if (!isIsolated
                || machines.isEmpty()
                || replica.controllers().size() < 2
                || now - leadingSince < patienceMs
                || now < candidateFrom) {
            return null;
        }
        candidateFrom = now + PAUSE_AFTER_RESIGNING * patienceMs;
        log.accept("resigning leadership: no machine sends heartbeats, term=" + term + " machines=" + machines.size());
        return resignation();
    }

    private Transaction resignation() {
        return new Transaction()
                .guard(Keys.LEADER, replica.modRevision(Keys.LEADER))
                .delete(Keys.LEADER);
    }

    /**
     * A transaction that changes nothing but the leader key's modRevision. Sent after one whose outcome is unknown: once it is
     * in, the unknown one has either been applied, and the replica will show it, or never will be.
     */
    Transaction fence() {
        return new Transaction()
                .guard(Keys.LEADER, replica.modRevision(Keys.LEADER))
                .put(Keys.LEADER, Records.leader(replica.leader()), incarnation);
    }
}

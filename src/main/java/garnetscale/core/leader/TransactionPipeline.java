package garnetscale.core.leader;

import garnetscale.core.state.Keys;
import garnetscale.core.state.StateReplica;
import garnetscale.core.state.Transaction;
import garnetscale.core.state.TransactionOutcome;
import java.util.function.Supplier;

/**
 * Serializes the leader's transactions. The next one is drafted only once the replica shows the previous one. After a transaction
 * of unknown outcome, a fence is sent first: a transaction that rewrites the leader key. Every transaction of a leader is guarded
 * by that key's modRevision, so once the fence is applied, the earlier transaction either has been applied, and the replica shows
 * it, or will never be. Without the fence, a delayed transaction could free a placement that a later transaction wrote and whose
 * owner has started the task again.
 */
public final class TransactionPipeline {

    /** Stands for a revision that is not set. */
    private static final long NO_REVISION = -1;

    private final StateReplica replica;
    private final Leader leader;
    private boolean isInFlight;
    /** Leader key's modRevision that guards the transaction in flight. */
    private long guardedBy;
    /** Leader key's modRevision that guards a transaction of unknown outcome, or {@link #NO_REVISION} if there is none. */
    private long unknownGuardedBy = NO_REVISION;
    /** Revision that the replica must reach before the next transaction, or {@link #NO_REVISION}. */
    private long awaitedRevision = NO_REVISION;

    /**
     * Creates a pipeline without a transaction in flight.
     *
     * @param leader supplies the fences
     */
    public TransactionPipeline(StateReplica replica, Leader leader) {
        this.replica = replica;
        this.leader = leader;
    }

    /** Starts over when this controller leads under a new term. Transactions of the old term fail by their guard. */
    public void restart() {
        unknownGuardedBy = NO_REVISION;
        awaitedRevision = NO_REVISION;
    }

    /**
     * Returns the transaction to send now, or null if there is none.
     *
     * @param planner drafts the next transaction or returns null; called only when it is safe to send another one
     */
    public Transaction next(Supplier<Transaction> planner) {
        if (isInFlight || replica.revision() < awaitedRevision) {
            return null;
        }
        if (unknownGuardedBy >= 0 && replica.modRevision(Keys.LEADER) != unknownGuardedBy) {
            unknownGuardedBy = NO_REVISION;
        }
        Transaction transaction = unknownGuardedBy >= 0 ? leader.fence() : planner.get();
        if (transaction != null) {
            isInFlight = true;
            guardedBy = replica.modRevision(Keys.LEADER);
        }
        return transaction;
    }

    /**
     * Records the outcome of the transaction in flight.
     *
     * @param revision revision that the replica must reach before the next transaction; used only if the outcome is OK or
     *     CONFLICT
     */
    public void ended(TransactionOutcome result, long revision) {
        switch (result) {
            case OK, CONFLICT -> awaitedRevision = revision;
            case UNKNOWN, NO_LEASE -> unknownGuardedBy = guardedBy;
            // Nothing was applied, so there is nothing to wait for.
            case REFUSED -> {}
            default -> throw new IllegalArgumentException("unexpected transaction outcome: " + result);
        }
    }

    /** Ends the pause after a transaction, so that the next one may be sent. */
    public void ready() {
        isInFlight = false;
    }
}

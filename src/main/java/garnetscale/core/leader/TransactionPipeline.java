package garnetscale.core.leader;

import garnetscale.core.state.Keys;
import garnetscale.core.state.StateReplica;
import garnetscale.core.state.Transaction;
import garnetscale.core.state.TransactionOutcome;
import java.util.function.Supplier;

/**
 * The leader's transactions, one at a time. The next is drafted only once the replica shows the one before; after one of unknown
 * outcome the leader's key is first written anew. Every transaction of a leader is guarded by that key's modRevision, so the
 * unknown one has then either been applied, and the replica shows it, or never will be. Without this, a late one could free a
 * placement that a later one's owner has started again.
 */
public final class TransactionPipeline {

    /** In place of a revision where there is none. */
    private static final long NO_REVISION = -1;

    private final StateReplica replica;
    private final Leader leader;
    private boolean isUnderWay;
    /** The leader key's modRevision that guards the transaction under way. */
    private long guardedBy;
    /** The leader key's modRevision that guards a transaction of unknown outcome. */
    private long unknownGuardedBy = NO_REVISION;
    /** The revision that the replica must have before the next transaction. */
    private long awaitedRevision = NO_REVISION;

    /** A pipeline without a transaction under way; {@code leader} writes the fences. */
    public TransactionPipeline(StateReplica replica, Leader leader) {
        this.replica = replica;
        this.leader = leader;
    }

    /** This controller leads under a new term; the old one's transactions fail by their guard. */
    public void restart() {
        unknownGuardedBy = NO_REVISION;
        awaitedRevision = NO_REVISION;
    }

    /** The transaction to send now, or null; {@code planner} is asked only when it is safe to go on, and may return null. */
    public Transaction next(Supplier<Transaction> planner) {
        if (isUnderWay || replica.revision() < awaitedRevision) {
            return null;
        }
        if (unknownGuardedBy >= 0 && replica.modRevision(Keys.LEADER) != unknownGuardedBy) {
            unknownGuardedBy = NO_REVISION;
        }
        Transaction transaction = unknownGuardedBy >= 0 ? leader.fence() : planner.get();
        if (transaction != null) {
            isUnderWay = true;
            guardedBy = replica.modRevision(Keys.LEADER);
        }
        return transaction;
    }

    /** The transaction ended, at a revision that the replica must have caught up with before the next. */
    public void ended(TransactionOutcome result, long revision) {
        switch (result) {
            case OK, CONFLICT -> awaitedRevision = revision;
            case UNKNOWN, NO_LEASE -> unknownGuardedBy = guardedBy;
            // Nothing was carried out, so nothing is to be waited for.
            case REFUSED -> {}
            default -> throw new IllegalArgumentException("unknown outcome of a transaction: " + result);
        }
    }

    /** The pause after a transaction is over. */
    public void ready() {
        isUnderWay = false;
    }
}

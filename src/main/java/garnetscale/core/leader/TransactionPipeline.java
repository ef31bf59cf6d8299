package garnetscale.core.leader;

import garnetscale.core.state.Keys;
import garnetscale.core.state.StateReplica;
import garnetscale.core.state.Transaction;
import garnetscale.core.state.TransactionOutcome;
import java.util.function.Supplier;

/**
 * The leader's transactions, one at a time. The next is drafted only once the replica shows the one before; after
 * one of unknown outcome the leader's key is first written anew. Every transaction of a leader is guarded by that
 * key's stamp, so the unknown one has then either been applied, and the replica shows it, or never will be.
 * Without this, a late one could free a placement that a later one's holder has started again.
 */
public final class TransactionPipeline {

    private final StateReplica replica;
    private final Leader leader;
    private boolean underWay;
    private long guardedBy;
    private long unknown = -1;
    private long awaited = -1;

    public TransactionPipeline(StateReplica replica, Leader leader) {
        this.replica = replica;
        this.leader = leader;
    }

    /** This node leads under a new term; the old one's transactions fail by their guard. */
    public void restart() {
        unknown = -1;
        awaited = -1;
    }

    /** The transaction to send now, or null; {@code drafts} is asked only when it is safe to go on. */
    public Transaction next(Supplier<Transaction> drafts) {
        if (underWay || replica.revision() < awaited) {
            return null;
        }
        if (unknown >= 0 && replica.modRevision(Keys.LEADER) != unknown) {
            unknown = -1;
        }
        Transaction transaction = unknown >= 0 ? leader.fence() : drafts.get();
        if (transaction != null) {
            underWay = true;
            guardedBy = replica.modRevision(Keys.LEADER);
        }
        return transaction;
    }

    /** The transaction ended; the replica must have caught up with the revision before the next. */
    public void ended(TransactionOutcome result, long revision) {
        switch (result) {
            case OK, CONFLICT -> awaited = revision;
            case MAYBE, NO_LEASE -> unknown = guardedBy;
            // Nothing was carried out, so nothing is to be waited for.
            case REFUSED -> {}
            default -> throw new IllegalArgumentException("result " + result);
        }
    }

    /** The pause after a transaction is over. */
    public void ready() {
        underWay = false;
    }
}

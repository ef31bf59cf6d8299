package garnetscale.core.upgrade;

import garnetscale.core.state.Transaction;

/** What the leader answers to an {@link UpgradeStep}. */
public sealed interface UpgradeDecision {

    /** The transaction that carries the step out; it fails when anything that was relied on has changed. */
    record Commit(Transaction transaction, ClusterVersion next) implements UpgradeDecision {}

    /** Nothing is left to do. */
    record Done(ClusterVersion version) implements UpgradeDecision {}

    /** Nothing is changed, for this reason. */
    record Refused(String reason) implements UpgradeDecision {}
}

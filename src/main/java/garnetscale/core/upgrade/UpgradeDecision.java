package garnetscale.core.upgrade;

import garnetscale.core.state.Transaction;

/** The leader's answer to an {@link UpgradeStep}. */
public sealed interface UpgradeDecision {

    /** The transaction that carries the step out; it fails if any precondition has changed. */
    record Commit(Transaction transaction, ClusterVersion next) implements UpgradeDecision {}

    /** The step is done already. */
    record Done(ClusterVersion version) implements UpgradeDecision {}

    /** The step is refused, and nothing changes; {@code reason} is for the operator. */
    record Refused(String reason) implements UpgradeDecision {}
}

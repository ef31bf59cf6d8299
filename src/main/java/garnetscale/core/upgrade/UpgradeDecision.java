package garnetscale.core.upgrade;

import garnetscale.core.state.Transaction;

/** The leader's decision on an {@link UpgradeStep}. */
public sealed interface UpgradeDecision {

    /** The transaction that performs the step and the version after it; it fails if any precondition has changed. */
    record Commit(Transaction transaction, ClusterVersion next) implements UpgradeDecision {}

    /** The step is already done. */
    record Done(ClusterVersion version) implements UpgradeDecision {}

    /** The step is refused and nothing changes; {@code reason} is shown to the operator. */
    record Refused(String reason) implements UpgradeDecision {}
}

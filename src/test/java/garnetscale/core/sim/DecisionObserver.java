package garnetscale.core.sim;

import garnetscale.core.partition.HeartbeatReply;
import garnetscale.core.partition.OwnerEffect;
import garnetscale.core.state.Transaction;

/** Receives every decision of the simulated controllers, in the order in which they are made. It must not change any state. */
interface DecisionObserver {

    /** An observer that ignores all decisions. */
    DecisionObserver NONE = new DecisionObserver() {};

    /** Called when a controller sends a transaction to the state service, which may apply it, refuse it or never receive it. */
    default void onTransaction(long now, String node, Transaction transaction) {}

    /** Called when a partition owner returns an effect, such as a command to send. */
    default void onEffect(long now, String node, OwnerEffect effect) {}

    /** Called when a partition owner replies to a heartbeat. */
    default void onReply(long now, String node, String machine, HeartbeatReply reply) {}
}

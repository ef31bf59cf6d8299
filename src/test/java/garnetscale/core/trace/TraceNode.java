package garnetscale.core.trace;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.bidding.Estimator;
import garnetscale.core.cluster.PartitionMap;
import garnetscale.core.leader.Leader;
import garnetscale.core.leader.TransactionPipeline;
import garnetscale.core.partition.PartitionOwner;
import garnetscale.core.state.StateReplica;
import java.util.function.Consumer;

/** A controller in a trace: the roles of the core, without timers and links. */
final class TraceNode {

    final String name;
    final StateReplica replica = new StateReplica();
    final SchedulerConfig config;
    final PartitionOwner owner;
    final Leader leader;
    final TransactionPipeline pipeline;
    long lease;

    /** Creates a controller; {@code log} receives each line that its leader role logs. */
    TraceNode(String name, SchedulerConfig config, Consumer<String> log) {
        this.name = name;
        this.config = config;
        PartitionMap partitions = new PartitionMap(config);
        owner = new PartitionOwner(config, replica, partitions, new Estimator(config.heartbeatIntervalMs()));
        leader = new Leader(config, replica, partitions, log);
        pipeline = new TransactionPipeline(replica, leader);
    }
}

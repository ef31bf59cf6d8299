package garnetscale.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.TestConfig;
import garnetscale.core.cluster.ControllerInfo;
import garnetscale.core.cluster.LeaderInfo;
import garnetscale.core.cluster.PartitionLease;
import garnetscale.core.cluster.PartitionMap;
import garnetscale.core.job.JobRecord;
import garnetscale.core.job.JobState;
import garnetscale.core.job.TestJob;
import garnetscale.core.leader.Leader;
import garnetscale.core.state.Keys;
import garnetscale.core.state.Layouts;
import garnetscale.core.state.Records;
import garnetscale.core.state.StateReplica;
import garnetscale.core.state.Transaction;
import garnetscale.emulator.StateModel;
import java.util.List;

/**
 * Test fixture for operators' requests: the leader n0 of two configured controllers, with the partition a/0 and the live job wk-1 of five
 * tasks. The tests write the stored state.
 */
public final class InspectedLeader {

    public final SchedulerConfig config = TestConfig.small()
            .controllers(List.of(
                    new SchedulerConfig.ControllerAddress("n0", "a", ""),
                    new SchedulerConfig.ControllerAddress("n1", "a", "10.0.0.2:8081")))
            .teams(new SchedulerConfig.Team("red", 8, 64, 0, Double.POSITIVE_INFINITY))
            .build();
    public final StateModel state = new StateModel();
    /** The session lease of n0. */
    public final long lease = state.grantLease(0, Long.MAX_VALUE / 4);

    public final StateReplica replica = new StateReplica();
    public final PartitionMap partitions = new PartitionMap(config);
    public final Leader leader = new Leader(config, replica, partitions, line -> {});

    /** Stores the leader, its partition and the job. */
    public InspectedLeader() {
        state.commit(new Transaction()
                .put(
                        Keys.controller("n0"),
                        Records.controller(new ControllerInfo("n0", lease, "a", Layouts.SUPPORTED)),
                        lease)
                .put(Keys.LEADER, Records.leader(new LeaderInfo("n0", lease, 3)), lease)
                .put(Keys.partition("a/0"), Records.partition(new PartitionLease("n0", lease, 17)))
                .put(
                        Keys.job("wk-1"),
                        Records.job(new JobRecord(
                                TestJob.named("wk-1").team("red").tasks(5).build(), JobState.LIVE, 0))));
        replica.reset(state.list(Keys.REPLICATED, null, 100), state.revision());
        leader.onLeaseChanged(lease);
    }

    /** Commits a transaction, which must succeed, and updates the replica. */
    public void commit(Transaction transaction) {
        assertEquals(200, state.commit(transaction));
        replica.advance(state.changes(Keys.REPLICATED, replica.revision()), state.revision());
    }
}

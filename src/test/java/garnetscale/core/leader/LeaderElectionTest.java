package garnetscale.core.leader;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.TestConfig;
import garnetscale.core.cluster.PartitionMap;
import java.util.List;
import org.junit.jupiter.api.Test;

/** When a controller deposes a leader whose lease in the state service hasn't expired. */
class LeaderElectionTest {

    private final Leader n1;

    LeaderElectionTest() {
        List<SchedulerConfig.ControllerAddress> controllers = List.of(
                new SchedulerConfig.ControllerAddress("n0", "a", ""),
                new SchedulerConfig.ControllerAddress("n1", "a", ""),
                new SchedulerConfig.ControllerAddress("n2", "a", ""));
        SchedulerConfig config =
                TestConfig.small().self("n1").controllers(controllers).build();
        ReplicatedState state = new ReplicatedState();
        state.lead("n0", 1, 1);
        state.join("n0", 1, "a");
        state.join("n1", 2, "a");
        state.join("n2", 3, "a");
        n1 = new Leader(config, state.replica, new PartitionMap(config), line -> {});
        n1.onLeaseChanged(2);
        assertNull(n1.election(0), "there is a leader");
    }

    @Test
    void aLeaderWhoseProcessRefusesConnectionsIsDeposedAtOnce() {
        n1.onPeerReachability(20_000, "n0", true);
        assertNotNull(n1.election(20_100));
    }

    /**
     * A packet filter between the controllers once made each of them depose the other in turn. A controller that can reach no
     * other one must wait for the leader's lease to expire, unless no worker reaches the leader.
     */
    @Test
    void aControllerThatReachesNoOtherWaitsForTheLeadersLease() {
        n1.onPeerReachability(20_000, "n0", true);
        n1.onPeerReachability(20_001, "n2", true);
        assertNull(n1.election(20_100));
        n1.onWorkerReachability(20_150, "n0", true);
        assertNotNull(n1.election(20_200), "a leader that no worker reaches is no loss");
    }

    @Test
    void afterAFalseSuspicionTheLeaderIsNotDeposedForAWhile() {
        n1.onPeerReachability(20_000, "n0", true);
        n1.onPeerReachability(20_500, "n0", false);
        n1.onPeerReachability(21_000, "n0", true);
        assertNull(n1.election(21_100));
        n1.onPeerReachability(22_000, "n0", false);
        n1.onPeerReachability(50_000, "n0", true);
        assertNotNull(n1.election(50_100));
    }
}

package garnetscale.core.leader;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.TestConfig;
import garnetscale.core.partition.ControllerInfo;
import garnetscale.core.partition.LeaderInfo;
import garnetscale.core.partition.PartitionMap;
import garnetscale.core.state.Keys;
import garnetscale.core.state.Layouts;
import garnetscale.core.state.Records;
import garnetscale.core.state.StateReplica;
import garnetscale.core.state.Transaction;
import garnetscale.emulator.StateModel;
import java.util.List;
import org.junit.jupiter.api.Test;

/** When a node deposes a leader whose state lease hasn't ended. */
class ElectionTest {

    private final Leader n1;

    ElectionTest() {
        List<SchedulerConfig.ControllerAddress> controllers = List.of(
                new SchedulerConfig.ControllerAddress("n0", "a", ""),
                new SchedulerConfig.ControllerAddress("n1", "a", ""),
                new SchedulerConfig.ControllerAddress("n2", "a", ""));
        SchedulerConfig config =
                TestConfig.small().self("n1").controllers(controllers).build();
        StateModel state = new StateModel();
        Transaction transaction = new Transaction().put(Keys.LEADER, Records.leader(new LeaderInfo("n0", 1, 1)));
        for (int i = 0; i < 3; i++) {
            transaction.put(
                    Keys.node("n" + i), Records.node(new ControllerInfo("n" + i, i + 1, "a", Layouts.SUPPORTED)));
        }
        state.commit(transaction);
        StateReplica replica = new StateReplica();
        replica.reset(state.list(Keys.MIRRORED, null, 1000), state.revision());
        n1 = new Leader(config, replica, new PartitionMap(config), s -> {});
        n1.onLeaseGranted(2);
        assertNull(n1.election(0), "there is a leader");
    }

    @Test
    void aLeaderWhoseProcessRefusesLinksIsDeposedAtOnce() {
        n1.suspect(20_000, "n0", true);
        assertNotNull(n1.election(20_100));
    }

    /** A packet filter between the nodes made each of them depose the other, in turn. */
    @Test
    void whoCanReachNobodyLeavesItToTheLease() {
        n1.suspect(20_000, "n0", true);
        n1.suspect(20_001, "n2", true);
        assertNull(n1.election(20_100));
        n1.onWorkerReachability(20_150, "n0", true);
        assertNotNull(n1.election(20_200), "a leader that no worker reaches is no loss");
    }

    @Test
    void aSuspicionThatWasWrongIsNoReasonForAWhile() {
        n1.suspect(20_000, "n0", true);
        n1.suspect(20_500, "n0", false);
        n1.suspect(21_000, "n0", true);
        assertNull(n1.election(21_100));
        n1.suspect(22_000, "n0", false);
        n1.suspect(50_000, "n0", true);
        assertNotNull(n1.election(50_100));
    }
}

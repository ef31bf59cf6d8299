package garnetscale.core.lead;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import garnetscale.core.Params;
import garnetscale.core.TestParams;
import garnetscale.core.block.Blocks;
import garnetscale.core.block.LeaderInfo;
import garnetscale.core.block.NodeInfo;
import garnetscale.core.store.Keys;
import garnetscale.core.store.Layouts;
import garnetscale.core.store.Records;
import garnetscale.core.store.StateReplica;
import garnetscale.core.store.Txn;
import garnetscale.standin.StateModel;
import java.util.List;
import org.junit.jupiter.api.Test;

/** When a node deposes a leader whose state lease hasn't ended. */
class ElectionTest {

    private final Leader n1;

    ElectionTest() {
        List<Params.Member> members = List.of(
                new Params.Member("n0", "a", ""), new Params.Member("n1", "a", ""), new Params.Member("n2", "a", ""));
        Params params = TestParams.small().self("n1").members(members).build();
        StateModel state = new StateModel();
        Txn txn = new Txn().put(Keys.LEADER, Records.leader(new LeaderInfo("n0", 1, 1)));
        for (int i = 0; i < 3; i++) {
            txn.put(Keys.node("n" + i), Records.node(new NodeInfo("n" + i, i + 1, "a", Layouts.SUPPORTED)));
        }
        state.commit(txn);
        StateReplica replica = new StateReplica();
        replica.reset(state.list(Keys.MIRRORED, null, 1000), state.ledger());
        n1 = new Leader(params, replica, new Blocks(params), s -> {});
        n1.incarnate(2);
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
        n1.hears(20_150, "n0", true);
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

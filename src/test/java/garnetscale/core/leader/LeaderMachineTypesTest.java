package garnetscale.core.leader;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.TestConfig;
import garnetscale.core.cluster.PartitionMap;
import garnetscale.core.machine.MachineType;
import garnetscale.core.state.Transaction;
import java.util.List;
import org.junit.jupiter.api.Test;

/** How the leader stores the machine types that the cloud offers. */
class LeaderMachineTypesTest {

    private static final List<MachineType> TYPES =
            List.of(new MachineType("t", 8, 0, 32, 20, 1, 1, 0.5, 20, List.of("a")));

    private final ReplicatedState state = new ReplicatedState();
    private final Leader leader;

    LeaderMachineTypesTest() {
        SchedulerConfig config = TestConfig.small().build();
        leader = new Leader(config, state.replica, new PartitionMap(config), line -> {});
        state.lead("n0", 1, 1);
    }

    /** A copy of the transaction that arrives later would bring back an older list of types. */
    @Test
    void aRepeatedTransactionOfMachineTypesIsRejected() {
        Transaction transaction = leader.storeTypes(TYPES);
        state.commit(transaction);
        assertEquals(TYPES, state.replica.types());
        assertEquals(409, state.service.commit(transaction));
        assertNull(leader.storeTypes(TYPES), "some are stored");
    }
}

package garnetscale.core.leader;

import static org.junit.jupiter.api.Assertions.assertEquals;

import garnetscale.core.cluster.ControllerInfo;
import garnetscale.core.cluster.LeaderInfo;
import garnetscale.core.cluster.PartitionLease;
import garnetscale.core.state.Keys;
import garnetscale.core.state.Layouts;
import garnetscale.core.state.Records;
import garnetscale.core.state.StateReplica;
import garnetscale.core.state.Transaction;
import garnetscale.core.upgrade.VersionRange;
import garnetscale.emulator.StateModel;
import java.util.List;

/** Test fixture: an in-memory state service, and a replica that follows each transaction. */
final class ReplicatedState {

    final StateModel service = new StateModel();
    final StateReplica replica = new StateReplica();

    ReplicatedState() {
        replica.reset(List.of(), 0);
    }

    /** Commits the transaction, which must succeed, and updates the replica. */
    void commit(Transaction transaction) {
        assertEquals(200, service.commit(transaction));
        follow();
    }

    /** Updates the replica from a watch. */
    void follow() {
        replica.advance(service.changes(Keys.REPLICATED, replica.revision()), service.revision());
    }

    /** Adds a live controller that supports the current layouts. */
    void join(String name, long incarnation, String zone) {
        join(name, incarnation, zone, Layouts.SUPPORTED);
    }

    /** Adds a live controller. */
    void join(String name, long incarnation, String zone, VersionRange layouts) {
        commit(new Transaction()
                .put(Keys.controller(name), Records.controller(new ControllerInfo(name, incarnation, zone, layouts))));
    }

    /** Makes a controller the leader. */
    void lead(String name, long incarnation, long term) {
        commit(new Transaction().put(Keys.LEADER, Records.leader(new LeaderInfo(name, incarnation, term))));
    }

    /** Leases a partition to a controller. */
    void lease(String partition, String owner, long incarnation, long term) {
        commit(new Transaction()
                .put(Keys.partition(partition), Records.partition(new PartitionLease(owner, incarnation, term))));
    }
}

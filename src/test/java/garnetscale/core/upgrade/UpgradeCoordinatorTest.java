package garnetscale.core.upgrade;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetscale.core.job.JobRecord;
import garnetscale.core.job.JobState;
import garnetscale.core.job.TestJob;
import garnetscale.core.state.Keys;
import garnetscale.core.state.Layouts;
import garnetscale.core.state.Records;
import garnetscale.core.state.Transaction;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** The preconditions of every step, and steps concurrent with controllers that join, leave and restart. */
class UpgradeCoordinatorTest {

    private static final VersionRange OLD = VersionRange.FIRST;
    private static final VersionRange NEW = Layouts.SUPPORTED;
    private static final long LATER = 10 * UpgradeCluster.SETTLE_MS;

    private final UpgradeCluster cluster = new UpgradeCluster();
    private final UpgradeCluster.Controller leader = cluster.start("n0", NEW);
    private long now;

    UpgradeCoordinatorTest() {
        cluster.elect(leader);
        settle();
    }

    /** Lets the leader observe the live controllers for longer than the settle time. */
    private void settle() {
        cluster.follow(leader);
        now += LATER;
        leader.upgrades.observe(now);
        now += LATER;
    }

    private UpgradeDecision decide(UpgradeStep step) {
        cluster.follow(leader);
        leader.upgrades.observe(now);
        return leader.upgrades.decide(now, step);
    }

    private Transaction transaction(UpgradeStep step) {
        return assertInstanceOf(UpgradeDecision.Commit.class, decide(step)).transaction();
    }

    private String refusal(UpgradeStep step) {
        return assertInstanceOf(UpgradeDecision.Refused.class, decide(step)).reason();
    }

    private void execute(UpgradeStep step) {
        assertEquals(200, cluster.commit(leader, transaction(step)));
        cluster.follow(leader);
    }

    private static Transaction putJob(String id) {
        return new Transaction()
                .guard(Keys.job(id), 0)
                .put(Keys.job(id), Records.job(new JobRecord(TestJob.named(id).build(), JobState.LIVE, 0)));
    }

    @Test
    void refusalNamesTheControllerThatDoesNotSupportTheVersion() {
        cluster.start("n1", OLD);
        settle();
        assertEquals("controller n1 supports 1 to 1 and not 2", refusal(UpgradeStep.ACTIVATE));
        cluster.start("n1", NEW);
        assertEquals("controller n1 has been there for 0 of 1000 ms that it has to", refusal(UpgradeStep.ACTIVATE));
        settle();
        execute(UpgradeStep.ACTIVATE);
        assertEquals(new ClusterVersion(2, 1), cluster.version());
    }

    @Test
    void everyStepIsIdempotentAndFinalizingIsPermanent() {
        execute(UpgradeStep.ACTIVATE);
        assertInstanceOf(UpgradeDecision.Done.class, decide(UpgradeStep.ACTIVATE));
        execute(UpgradeStep.DEACTIVATE);
        assertInstanceOf(UpgradeDecision.Done.class, decide(UpgradeStep.DEACTIVATE));
        assertEquals(ClusterVersion.FIRST, cluster.version());
        execute(UpgradeStep.ACTIVATE);
        execute(UpgradeStep.FINALIZE);
        assertInstanceOf(UpgradeDecision.Done.class, decide(UpgradeStep.FINALIZE));
        assertEquals("version 2 is finalized", refusal(UpgradeStep.DEACTIVATE));
        assertEquals(new ClusterVersion(2, 2), cluster.version());
    }

    /** A guarded controller that leaves or restarts after the leader's last observation makes the activation fail. */
    @Test
    void aControllerThatLeavesOrRestartsMakesTheActivationFail() {
        cluster.start("n1", NEW);
        settle();
        Transaction beforeRestart = transaction(UpgradeStep.ACTIVATE);
        cluster.start("n1", OLD);
        assertEquals(409, cluster.commit(leader, beforeRestart));
        cluster.start("n1", NEW);
        settle();
        Transaction beforeLeaving = transaction(UpgradeStep.ACTIVATE);
        cluster.end("n1");
        assertEquals(409, cluster.commit(leader, beforeLeaving));
        assertEquals(ClusterVersion.FIRST, cluster.version());
    }

    /** A controller that joins for the first time isn't guarded; it reads the version first and then makes no decisions. */
    @Test
    void anOldControllerThatJoinsDuringActivationStaysInactive() {
        Transaction activation = transaction(UpgradeStep.ACTIVATE);
        UpgradeCluster.Controller old = cluster.start("n1", OLD);
        assertTrue(old.replica.isLoaded());
        assertEquals(200, cluster.commit(leader, activation));
        assertEquals(
                409,
                cluster.commit(old, putJob("wk-1")),
                "its replica is older than the activation, so the write must fail");
        cluster.follow(old);
        assertFalse(old.replica.isLoaded());
        assertEquals(
                "g/version as of revision " + cluster.state.get(Keys.VERSION).modRevision()
                        + ": version 2, and this controller supports 1 to 1",
                old.replica.unreadable());
        assertEquals(0, cluster.commit(old, putJob("wk-1")));
        cluster.end("n1");
        settle();
        execute(UpgradeStep.DEACTIVATE);
        cluster.follow(old);
        assertTrue(old.replica.isLoaded(), "loaded again once the previous version is active");
        assertEquals(200, cluster.commit(old, putJob("wk-1")));
    }

    @Test
    void aReplacedLeaderCannotActivate() {
        Transaction late = transaction(UpgradeStep.ACTIVATE);
        UpgradeCluster.Controller next = cluster.start("n1", NEW);
        cluster.elect(next);
        assertEquals(409, cluster.commit(leader, late));
        assertEquals(ClusterVersion.FIRST, cluster.version());
    }

    @Test
    void aLateActivationDoesNotUndoADeactivation() {
        Transaction repeated = transaction(UpgradeStep.ACTIVATE);
        assertEquals(200, cluster.commit(leader, repeated));
        execute(UpgradeStep.DEACTIVATE);
        assertEquals(409, cluster.state.commit(repeated));
        assertEquals(ClusterVersion.FIRST, cluster.version());
    }

    /** A truncated or unknown record is never treated as absent, and no decisions are made from the other records. */
    @Test
    void anInvalidRecordMakesTheReplicaUnreadable() {
        cluster.state.commit(putJob("wk-1"));
        cluster.state.commit(new Transaction().put(Keys.job("wk-2"), Map.of("s", "LIVE")));
        cluster.follow(leader);
        assertNotNull(leader.replica.unreadable());
        assertTrue(leader.replica.unreadable().startsWith("g/j/wk-2 as of revision "), leader.replica.unreadable());
        assertFalse(leader.replica.isLoaded());
        cluster.list(leader);
        assertFalse(leader.replica.isLoaded());
        cluster.state.commit(putJob("wk-2")
                .guard(Keys.job("wk-2"), cluster.state.get(Keys.job("wk-2")).modRevision()));
        cluster.list(leader);
        assertTrue(leader.replica.isLoaded(), "loaded again once the record is valid");
        assertNotNull(leader.replica.job("wk-1"));
    }
}

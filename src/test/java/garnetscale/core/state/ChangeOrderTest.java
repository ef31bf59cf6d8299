package garnetscale.core.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import garnetscale.core.cluster.LeaderInfo;
import garnetscale.core.cluster.PartitionLease;
import garnetscale.core.job.JobRecord;
import garnetscale.core.job.JobState;
import garnetscale.core.job.TestJob;
import garnetscale.emulator.StateModel;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** A watch's answer may list its changes in any order; the replica is the same as with the oldest first. */
class ChangeOrderTest {

    private static final String JOB = "wk-1";
    private static final int ORDERS = 50;

    private final StateModel state = new StateModel();
    private final StateReplica replica = new StateReplica();

    ChangeOrderTest() {
        replica.reset(List.of(), state.revision());
    }

    private void put(String key, Object value) {
        state.commit(new Transaction().put(key, value));
    }

    private static Object job(JobState jobState) {
        return Records.job(new JobRecord(TestJob.named(JOB).build(), jobState, 0));
    }

    private void follow() {
        replica.advance(state.changes(Keys.REPLICATED, replica.revision()), state.revision());
    }

    /** If the removal is listed before the record, the job that has ended must not come back as a live one without progress. */
    @Test
    void aJobThatHasEndedStaysRemovedIfTheNewestChangeIsListedFirst() {
        state.orderChanges(Collections::reverse);
        put(Keys.job(JOB), job(JobState.LIVE));
        state.commit(new Transaction().delete(Keys.job(JOB)));
        follow();
        assertNull(replica.job(JOB));
        assertEquals(0, replica.modRevision(Keys.job(JOB)), "no guard on a revision of the past");
    }

    /** A leader that has resigned, a lost controller and an older partition lease must not come back, in whichever order. */
    @Test
    void everyOrderOfTheChangesGivesTheSameReplica() {
        Random random = new Random(1);
        state.orderChanges(changes -> Collections.shuffle(changes, random));
        for (int order = 1; order <= ORDERS; order++) {
            put(Keys.LEADER, Records.leader(new LeaderInfo("n0", order, 2L * order)));
            state.commit(new Transaction().delete(Keys.LEADER));
            put(Keys.partition("a/0"), Records.partition(new PartitionLease("n0", order, 2L * order)));
            put(Keys.partition("a/0"), Records.partition(new PartitionLease("n1", order, 2L * order + 1)));
            put(Keys.job(JOB), job(JobState.LIVE));
            put(Keys.job(JOB), job(JobState.CANCELLED));
            follow();
            assertNull(replica.leader(), "order " + order);
            assertEquals(new PartitionLease("n1", order, 2L * order + 1), replica.partition("a/0"));
            assertNotNull(replica.job(JOB));
            assertEquals(JobState.CANCELLED, replica.job(JOB).job().state());
            for (KeyChange stored : state.list(Keys.REPLICATED, null, 10)) {
                assertEquals(stored.modRevision(), replica.modRevision(stored.key()), stored.key());
            }
        }
    }
}

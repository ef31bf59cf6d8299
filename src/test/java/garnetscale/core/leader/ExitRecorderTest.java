package garnetscale.core.leader;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.TestConfig;
import garnetscale.core.job.JobRecord;
import garnetscale.core.job.JobSpec;
import garnetscale.core.job.JobState;
import garnetscale.core.job.TaskId;
import garnetscale.core.job.TestJob;
import garnetscale.core.machine.ExitCause;
import garnetscale.core.machine.MachineType;
import garnetscale.core.machine.Placement;
import garnetscale.core.machine.TaskState;
import garnetscale.core.machine.TaskStatus;
import garnetscale.core.partition.MachineStatus;
import garnetscale.core.quota.QuotaUsage;
import garnetscale.core.state.Keys;
import garnetscale.core.state.Layouts;
import garnetscale.core.state.LogWriter;
import garnetscale.core.state.Records;
import garnetscale.core.state.StateReplica;
import garnetscale.core.state.Transaction;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Which reports prove that an attempt has ended. Both tasks of a job run on one machine. */
class ExitRecorderTest {

    private static final long TERM = 7;
    private static final String MACHINE = "m-000001";
    private static final MachineType TYPE = new MachineType("t", 8, 0, 32, 20, 1, 1, 0.5, 20, List.of("a"));

    private final SchedulerConfig config = TestConfig.small().build();
    private final ReplicatedState state = new ReplicatedState();
    private final StateReplica replica = state.replica;
    private final LeaderContext context = LeaderContext.of(config, replica, line -> {});
    private final ExitRecorder recorder = new ExitRecorder(context, new MachineEvaluator(context));
    private final Placement first = new Placement(new TaskId("wk-1", 0), 5, 1, Placement.Stop.KEEP);
    private final Placement second = new Placement(new TaskId("wk-1", 1), 6, 1, Placement.Stop.KEEP);

    ExitRecorderTest() {
        JobSpec job = TestJob.named("wk-1").tasks(2).build();
        state.commit(new Transaction().put(Keys.job("wk-1"), Records.job(new JobRecord(job, JobState.LIVE, 0))));
        state.lease("a/0", "n0", 1, TERM);
        TransactionDraft draft = draft();
        draft.place(MACHINE, TYPE, "a", first, job);
        draft.place(MACHINE, TYPE, "a", second, job);
        state.commit(draft.toTransaction());
    }

    private TransactionDraft draft() {
        return draft(config.maxTransactionOperations());
    }

    private TransactionDraft draft(int opLimit) {
        return new TransactionDraft(
                replica,
                QuotaUsage.of(config, replica),
                new LogWriter.Limits(config.maxValueBytes(), opLimit, Layouts.FIRST, false));
    }

    private static MachineStatus status(List<TaskStatus> tasks, List<Long> terminated) {
        return new MachineStatus(
                "n0", 1, "a/0", TERM, MACHINE, "h:1", "t", "a", false, 1, null, false, tasks, terminated);
    }

    private static MachineStatus exited(Placement placement, ExitCause cause) {
        return status(
                List.of(new TaskStatus(placement.task(), placement.attempt(), TaskState.EXITED, cause, false)),
                List.of());
    }

    private void recordAndCommit() {
        TransactionDraft draft = draft();
        assertTrue(recorder.record(0, draft));
        state.commit(draft.toTransaction());
    }

    @Test
    void aCompletedTaskIsFreedAndRecordedAsFinished() {
        recorder.onExits(exited(first, ExitCause.DONE));
        recordAndCommit();
        assertEquals(List.of(second), replica.placements(MACHINE));
        assertTrue(replica.job("wk-1").isFinished(0));
    }

    @Test
    void theLastCompletedTaskEndsItsJob() {
        recorder.onExits(exited(first, ExitCause.DONE));
        recorder.onExits(exited(second, ExitCause.DONE));
        recordAndCommit();
        assertEquals(List.of(), replica.placements(MACHINE));
        assertNull(replica.job("wk-1"));
    }

    @Test
    void aFailedTaskIsFreedAndWaitsAgain() {
        recorder.onExits(exited(first, ExitCause.ERROR));
        recordAndCommit();
        assertEquals(List.of(second), replica.placements(MACHINE));
        assertFalse(replica.job("wk-1").isFinished(0));
        assertEquals(0, replica.job("wk-1").nextUnstarted(0));
    }

    @Test
    void aProofOfTerminationFreesOnlyItsAttempt() {
        recorder.onTerminated(status(List.of(), List.of(second.attempt())));
        recordAndCommit();
        assertEquals(List.of(first), replica.placements(MACHINE));
        assertFalse(replica.job("wk-1").isFinished(1));
    }

    @Test
    void reportsUnderAnEarlierPartitionTermProveNothing() {
        recorder.onExits(exited(first, ExitCause.DONE));
        recorder.onTerminated(status(List.of(), List.of(second.attempt())));
        state.lease("a/0", "n0", 1, TERM + 1);
        TransactionDraft draft = draft();
        assertTrue(recorder.record(0, draft));
        assertTrue(draft.isEmpty());
    }

    @Test
    void aTerminatedMachineLosesItsPlacementsAndItsRecord() {
        recorder.onMachineTerminated(MACHINE);
        assertTrue(recorder.isTerminated(MACHINE));
        recordAndCommit();
        assertEquals(List.of(), replica.placements(MACHINE));
        assertNull(replica.zoneOfMachine(MACHINE));
    }

    @Test
    void exitsThatDoNotFitWaitForTheNextTransaction() {
        recorder.onExits(exited(first, ExitCause.DONE));
        TransactionDraft full = draft(2);
        assertFalse(recorder.record(0, full));
        assertTrue(full.isEmpty());
        recordAndCommit();
        assertEquals(List.of(second), replica.placements(MACHINE));
    }
}

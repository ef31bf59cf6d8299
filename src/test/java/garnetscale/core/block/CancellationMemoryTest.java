package garnetscale.core.block;

import static org.junit.jupiter.api.Assertions.assertEquals;

import garnetscale.core.Params;
import garnetscale.core.TestParams;
import garnetscale.core.bid.Estimator;
import garnetscale.core.job.JobRecord;
import garnetscale.core.job.JobSpec;
import garnetscale.core.job.JobState;
import garnetscale.core.job.TaskId;
import garnetscale.core.job.TestJob;
import garnetscale.core.machine.MachineType;
import garnetscale.core.machine.Placement;
import garnetscale.core.machine.Report;
import garnetscale.core.machine.ReportedTask;
import garnetscale.core.machine.TaskState;
import garnetscale.core.machine.WorkerCommand;
import garnetscale.core.store.Keys;
import garnetscale.core.store.LogWriter;
import garnetscale.core.store.MachineRecord;
import garnetscale.core.store.Records;
import garnetscale.core.store.StateReplica;
import garnetscale.core.store.Txn;
import garnetscale.standin.StateModel;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * What a holder keeps of its peers' cancellations is bounded, and the oldest go first: a cancellation that its replica doesn't
 * show yet counts however many thousand others come with it. One that is forgotten is still kept by the grace, which ends the
 * task's session in time without any word of a peer.
 */
class CancellationMemoryTest {

    private static final long TERM = Terms.blockTerm(1, 1);
    private static final long ATTEMPT = Terms.attempt(1, 1);

    private final Params params =
            TestParams.small().teams(new Params.Team("red", 8, 64, 0, 0)).build();
    private final int remembered = params.cancellationsRemembered();
    private final BlockHolder holder;
    private long tick;

    CancellationMemoryTest() {
        JobSpec job = TestJob.named("wk-1").build();
        StateModel state = new StateModel();
        state.commit(new Txn()
                .put(
                        Keys.TYPES,
                        Records.types(List.of(new MachineType("t", 8, 0, 32, 20, 1, 1, 0.5, 20, List.of("a")))))
                .put(Keys.block("a/0"), Records.block(new BlockLease("n0", 1, TERM)))
                .put(Keys.job("wk-1"), Records.job(new JobRecord(job, JobState.LIVE, 0))));
        StateReplica replica = new StateReplica();
        replica.reset(state.list(Keys.MIRRORED, null, 100), state.ledger());
        Placement placement = new Placement(new TaskId("wk-1", 0), ATTEMPT, 1, Placement.Stop.KEEP);
        Txn placed = new Txn();
        new LogWriter(replica, params.valueBytes())
                .write(placed, Map.of("m-000000", new MachineRecord("a", List.of(placement), Map.of())), Map.of());
        state.commit(placed);
        replica.reset(state.list(Keys.MIRRORED, null, 100), state.ledger());
        holder = new BlockHolder(params, replica, new Blocks(params), new Estimator(1000));
        holder.incarnate(1);
        holder.confirmed(0);
    }

    /** The commands in the answer to a report that shows the task running. */
    private List<WorkerCommand> commandsForReport() {
        ReportedTask running = new ReportedTask(new TaskId("wk-1", 0), ATTEMPT, TaskState.RUNNING, null, false);
        Report report = new Report(
                "m-000000", "h:1", "t", "a", false, 1, ++tick, Terms.firstToken(TERM), null, List.of(running));
        return ((BlockHolder.Reply.Answer) holder.onReport(tick, report)).orders();
    }

    private void cancelOthers(int count) {
        for (int i = 0; i < count; i++) {
            holder.onCancelled("wk-other-" + i);
        }
    }

    @Test
    void aCancellationCountsAmongThousandsOfOthers() {
        assertEquals(List.of(), commandsForReport());
        holder.onCancelled("wk-1");
        cancelOthers(remembered - 1);
        assertEquals(List.of(new WorkerCommand.Stop(new TaskId("wk-1", 0), ATTEMPT, 0)), commandsForReport());
    }

    @Test
    void theOldestIsForgottenFirstSoThatTheMemoryIsBounded() {
        holder.onCancelled("wk-1");
        cancelOthers(remembered);
        assertEquals(List.of(), commandsForReport());
    }
}

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
import garnetscale.core.machine.ExitCause;
import garnetscale.core.machine.MachineType;
import garnetscale.core.machine.Report;
import garnetscale.core.machine.ReportedTask;
import garnetscale.core.machine.TaskState;
import garnetscale.core.store.Keys;
import garnetscale.core.store.Records;
import garnetscale.core.store.StateReplica;
import garnetscale.core.store.Txn;
import garnetscale.standin.StateModel;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Bids are made anew when there is news; time alone has to count as news, too. */
class BlockHolderBidTest {

    private static final long TERM = Terms.blockTerm(1, 1);
    private static final long REPORT = 1000;

    private final Params params = TestParams.small()
            .teams(new Params.Team("red", 8, 64, 0, 0))
            .workers(REPORT, 10_000, 35_000)
            .build();
    private final BlockHolder holder;
    private int batches;
    private int bids;
    private long ticks;

    BlockHolderBidTest() {
        StateModel state = new StateModel();
        JobSpec job = TestJob.named("wk-1").build();
        state.commit(new Txn()
                .put(
                        Keys.TYPES,
                        Records.types(List.of(new MachineType("t", 8, 0, 32, 20, 1, 1, 0.5, 20, List.of("a")))))
                .put(Keys.block("a/0"), Records.block(new BlockLease("n0", 1, TERM)))
                .put(Keys.job("wk-1"), Records.job(new JobRecord(job, JobState.LIVE, 0))));
        StateReplica replica = new StateReplica();
        replica.reset(state.list(Keys.MIRRORED, null, 100), state.ledger());
        holder = new BlockHolder(params, replica, new Blocks(params), new Estimator(REPORT));
        holder.incarnate(1);
    }

    private void report(long now, List<ReportedTask> tasks) {
        holder.confirmed(now);
        holder.onReport(
                now, new Report("m-000000", "h:1", "t", "a", false, 1, ++ticks, Terms.firstToken(TERM), null, tasks));
        holder.tick(now);
        for (BlockHolder.Effect e : holder.drain()) {
            if (e instanceof BlockHolder.Effect.Offer o) {
                batches++;
                bids = o.batch().bids().size();
            }
        }
    }

    private static ReportedTask failed(String job, long attempt) {
        return new ReportedTask(new TaskId(job, 0), attempt, TaskState.EXITED, ExitCause.ERROR, false);
    }

    /** A machine that failed two jobs doesn't bid for a while. The end of that while comes with no news at all. */
    @Test
    void aPauseThatIsOverBringsABid() {
        List<ReportedTask> tasks = List.of(failed("wk-8", 1), failed("wk-9", 2));
        for (long now = 0; now <= 6 * REPORT; now += REPORT) {
            report(now, tasks);
        }
        assertEquals(0, bids, "it failed two jobs");
        for (long now = 7 * REPORT; now <= 10 * REPORT; now += REPORT) {
            report(now, tasks);
        }
        assertEquals(1, bids, "its pause is over");
    }

    /** Reports that say nothing new bring no batch: with a thousand machines bids would be made all the time. */
    @Test
    void reportsWithoutNewsBringNoSheet() {
        report(0, List.of());
        report(200, List.of());
        assertEquals(1, bids);
        int before = batches;
        for (long now = 1000; now < 20_000; now += REPORT) {
            report(now, List.of());
        }
        assertEquals(before, batches);
    }
}

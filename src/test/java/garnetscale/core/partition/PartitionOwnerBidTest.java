package garnetscale.core.partition;

import static org.junit.jupiter.api.Assertions.assertEquals;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.TestConfig;
import garnetscale.core.bidding.Estimator;
import garnetscale.core.job.JobRecord;
import garnetscale.core.job.JobSpec;
import garnetscale.core.job.JobState;
import garnetscale.core.job.TaskId;
import garnetscale.core.job.TestJob;
import garnetscale.core.machine.ExitCause;
import garnetscale.core.machine.MachineType;
import garnetscale.core.machine.TaskState;
import garnetscale.core.machine.TaskStatus;
import garnetscale.core.machine.WorkerHeartbeat;
import garnetscale.core.state.Keys;
import garnetscale.core.state.Records;
import garnetscale.core.state.StateReplica;
import garnetscale.core.state.Transaction;
import garnetscale.emulator.StateModel;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Bids are made anew when there is news; time alone has to count as news, too. */
class PartitionOwnerBidTest {

    private static final long TERM = FencingTokens.partitionTerm(1, 1);
    private static final long REPORT = 1000;

    private final SchedulerConfig config = TestConfig.small()
            .teams(new SchedulerConfig.Team("red", 8, 64, 0, 0))
            .workers(REPORT, 10_000, 35_000)
            .build();
    private final PartitionOwner owner;
    private int batches;
    private int bids;
    private long ticks;

    PartitionOwnerBidTest() {
        StateModel state = new StateModel();
        JobSpec job = TestJob.named("wk-1").build();
        state.commit(new Transaction()
                .put(
                        Keys.TYPES,
                        Records.types(List.of(new MachineType("t", 8, 0, 32, 20, 1, 1, 0.5, 20, List.of("a")))))
                .put(Keys.partition("a/0"), Records.partition(new PartitionLease("n0", 1, TERM)))
                .put(Keys.job("wk-1"), Records.job(new JobRecord(job, JobState.LIVE, 0))));
        StateReplica replica = new StateReplica();
        replica.reset(state.list(Keys.MIRRORED, null, 100), state.revision());
        owner = new PartitionOwner(config, replica, new PartitionMap(config), new Estimator(REPORT));
        owner.onLeaseGranted(1);
    }

    private void heartbeat(long now, List<TaskStatus> tasks) {
        owner.confirmed(now);
        owner.onHeartbeat(
                now,
                new WorkerHeartbeat(
                        "m-000000", "h:1", "t", "a", false, 1, ++ticks, FencingTokens.firstToken(TERM), null, tasks));
        owner.tick(now);
        for (OwnerEffect e : owner.drain()) {
            if (e instanceof OwnerEffect.SubmitBids o) {
                batches++;
                bids = o.batch().bids().size();
            }
        }
    }

    private static TaskStatus failed(String job, long attempt) {
        return new TaskStatus(new TaskId(job, 0), attempt, TaskState.EXITED, ExitCause.ERROR, false);
    }

    /** A machine that failed two jobs doesn't bid for a while. The end of that while comes with no news at all. */
    @Test
    void aPauseThatIsOverBringsABid() {
        List<TaskStatus> tasks = List.of(failed("wk-8", 1), failed("wk-9", 2));
        for (long now = 0; now <= 6 * REPORT; now += REPORT) {
            heartbeat(now, tasks);
        }
        assertEquals(0, bids, "it failed two jobs");
        for (long now = 7 * REPORT; now <= 10 * REPORT; now += REPORT) {
            heartbeat(now, tasks);
        }
        assertEquals(1, bids, "its pause is over");
    }

    /** Reports that say nothing new bring no batch: with a thousand machines bids would be made all the time. */
    @Test
    void reportsWithoutNewsBringNoSheet() {
        heartbeat(0, List.of());
        heartbeat(200, List.of());
        assertEquals(1, bids);
        int before = batches;
        for (long now = 1000; now < 20_000; now += REPORT) {
            heartbeat(now, List.of());
        }
        assertEquals(before, batches);
    }
}

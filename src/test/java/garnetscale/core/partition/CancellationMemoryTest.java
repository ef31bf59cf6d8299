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
import garnetscale.core.machine.MachineType;
import garnetscale.core.machine.Placement;
import garnetscale.core.machine.TaskState;
import garnetscale.core.machine.TaskStatus;
import garnetscale.core.machine.WorkerCommand;
import garnetscale.core.machine.WorkerHeartbeat;
import garnetscale.core.state.Keys;
import garnetscale.core.state.LogWriter;
import garnetscale.core.state.MachineRecord;
import garnetscale.core.state.Records;
import garnetscale.core.state.StateReplica;
import garnetscale.core.state.Transaction;
import garnetscale.emulator.StateModel;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * What a holder keeps of its peers' cancellations is bounded, and the oldest go first: a cancellation that its replica doesn't
 * show yet counts however many thousand others come with it. One that is forgotten is still kept by the grace, which ends the
 * task's session in time without any word of a peer.
 */
class CancellationMemoryTest {

    private static final long TERM = FencingTokens.partitionTerm(1, 1);
    private static final long ATTEMPT = FencingTokens.attempt(1, 1);

    private final SchedulerConfig config = TestConfig.small()
            .teams(new SchedulerConfig.Team("red", 8, 64, 0, 0))
            .build();
    private final int remembered = config.cancellationsRemembered();
    private final PartitionOwner owner;
    private long tick;

    CancellationMemoryTest() {
        JobSpec job = TestJob.named("wk-1").build();
        StateModel state = new StateModel();
        state.commit(new Transaction()
                .put(
                        Keys.TYPES,
                        Records.types(List.of(new MachineType("t", 8, 0, 32, 20, 1, 1, 0.5, 20, List.of("a")))))
                .put(Keys.partition("a/0"), Records.partition(new PartitionLease("n0", 1, TERM)))
                .put(Keys.job("wk-1"), Records.job(new JobRecord(job, JobState.LIVE, 0))));
        StateReplica replica = new StateReplica();
        replica.reset(state.list(Keys.MIRRORED, null, 100), state.revision());
        Placement placement = new Placement(new TaskId("wk-1", 0), ATTEMPT, 1, Placement.Stop.KEEP);
        Transaction placed = new Transaction();
        new LogWriter(replica, config.valueBytes())
                .write(placed, Map.of("m-000000", new MachineRecord("a", List.of(placement), Map.of())), Map.of());
        state.commit(placed);
        replica.reset(state.list(Keys.MIRRORED, null, 100), state.revision());
        owner = new PartitionOwner(config, replica, new PartitionMap(config), new Estimator(1000));
        owner.onLeaseGranted(1);
        owner.confirmed(0);
    }

    /** The commands in the answer to a report that shows the task running. */
    private List<WorkerCommand> commandsForReport() {
        TaskStatus running = new TaskStatus(new TaskId("wk-1", 0), ATTEMPT, TaskState.RUNNING, null, false);
        WorkerHeartbeat heartbeat = new WorkerHeartbeat(
                "m-000000", "h:1", "t", "a", false, 1, ++tick, FencingTokens.firstToken(TERM), null, List.of(running));
        return ((HeartbeatReply.Acknowledge) owner.onHeartbeat(tick, heartbeat)).commands();
    }

    private void cancelOthers(int count) {
        for (int i = 0; i < count; i++) {
            owner.onCancelled("wk-other-" + i);
        }
    }

    @Test
    void aCancellationCountsAmongThousandsOfOthers() {
        assertEquals(List.of(), commandsForReport());
        owner.onCancelled("wk-1");
        cancelOthers(remembered - 1);
        assertEquals(List.of(new WorkerCommand.Stop(new TaskId("wk-1", 0), ATTEMPT, 0)), commandsForReport());
    }

    @Test
    void theOldestIsForgottenFirstSoThatTheMemoryIsBounded() {
        owner.onCancelled("wk-1");
        cancelOthers(remembered);
        assertEquals(List.of(), commandsForReport());
    }
}

package garnetscale.core.partition;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.TestConfig;
import garnetscale.core.bidding.Estimator;
import garnetscale.core.cluster.FencingTokens;
import garnetscale.core.cluster.PartitionLease;
import garnetscale.core.cluster.PartitionMap;
import garnetscale.core.job.JobRecord;
import garnetscale.core.job.JobState;
import garnetscale.core.job.TaskId;
import garnetscale.core.job.TestJob;
import garnetscale.core.machine.ExitCause;
import garnetscale.core.machine.MachineType;
import garnetscale.core.machine.Placement;
import garnetscale.core.machine.TaskState;
import garnetscale.core.machine.TaskStatus;
import garnetscale.core.machine.WorkerHeartbeat;
import garnetscale.core.state.KeyChange;
import garnetscale.core.state.Keys;
import garnetscale.core.state.LogWriter;
import garnetscale.core.state.MachineRecord;
import garnetscale.core.state.Records;
import garnetscale.core.state.StateReplica;
import garnetscale.core.state.Transaction;
import garnetscale.core.upgrade.ClusterVersion;
import garnetscale.emulator.StateModel;
import java.util.List;
import java.util.Map;

/** The owner of partition a/0 and its worker m-000000; the owner's replica has one waiting job of one task. */
final class OwnerFixture {

    static final long TERM = FencingTokens.partitionTerm(1, 1);
    static final long FIRST_TOKEN = FencingTokens.firstToken(TERM);
    static final long ATTEMPT = FencingTokens.attempt(1, 1);
    static final String MACHINE = "m-000000";
    static final TaskId TASK = new TaskId("wk-1", 0);

    private static final long INCARNATION = 1;
    private static final int LIST_LIMIT = 100;
    private static final int UNSUPPORTED_VERSION = 99;

    final SchedulerConfig config;
    final PartitionOwner owner;
    private final StateModel state = new StateModel();
    final StateReplica replica = new StateReplica();
    private long tick;

    /** Creates the owner with {@code settings}, to which the job's team is added. */
    OwnerFixture(TestConfig settings) {
        config = settings.teams(new SchedulerConfig.Team("red", 8, 64, 0, 0)).build();
        state.commit(new Transaction()
                .put(
                        Keys.TYPES,
                        Records.types(List.of(new MachineType("t", 8, 0, 32, 20, 1, 1, 0.5, 20, List.of("a")))))
                .put(Keys.partition("a/0"), Records.partition(new PartitionLease("n0", INCARNATION, TERM)))
                .put(
                        Keys.job("wk-1"),
                        Records.job(new JobRecord(TestJob.named("wk-1").build(), JobState.LIVE, 0))));
        refreshReplica();
        owner = new PartitionOwner(
                config, replica, new PartitionMap(config), new Estimator(config.heartbeatIntervalMs()));
        owner.onLeaseChanged(INCARNATION);
    }

    /** Places the job's task on the worker's machine. */
    OwnerFixture placeTask() {
        Placement placement = new Placement(TASK, ATTEMPT, 1, Placement.Stop.KEEP);
        Transaction transaction = new Transaction();
        new LogWriter(replica, config.maxValueBytes())
                .write(transaction, Map.of(MACHINE, new MachineRecord("a", List.of(placement), Map.of())), Map.of());
        state.commit(transaction);
        refreshReplica();
        return this;
    }

    /** Makes the replica unreadable and empty, as after the activation of a version that this controller doesn't support. */
    void unloadReplica() {
        Object version = Records.version(new ClusterVersion(UNSUPPORTED_VERSION, 1));
        replica.reset(List.of(new KeyChange(Keys.VERSION, version, 1)), state.revision());
    }

    /** Loads the replica with what is stored. */
    void refreshReplica() {
        replica.reset(state.list(Keys.REPLICATED, null, LIST_LIMIT), state.revision());
    }

    /** Returns the worker's next heartbeat in its first agent epoch. */
    WorkerHeartbeat heartbeat(long fencingToken, List<TaskStatus> tasks) {
        return new WorkerHeartbeat(MACHINE, "h:1", "t", "a", false, 1, ++tick, fencingToken, null, tasks);
    }

    static TaskStatus running() {
        return new TaskStatus(TASK, ATTEMPT, TaskState.RUNNING, null, false);
    }

    /** Returns the status of a failed attempt of the job's first task. */
    static TaskStatus failed(String job, long attempt) {
        return new TaskStatus(new TaskId(job, 0), attempt, TaskState.EXITED, ExitCause.ERROR, false);
    }
}

package garnetscale.core.leader;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.TestConfig;
import garnetscale.core.Times;
import garnetscale.core.job.JobRecord;
import garnetscale.core.job.JobSpec;
import garnetscale.core.job.JobState;
import garnetscale.core.job.Priority;
import garnetscale.core.job.TestJob;
import garnetscale.core.state.JobView;
import garnetscale.core.state.Keys;
import garnetscale.core.state.Records;
import garnetscale.core.state.Transaction;
import org.junit.jupiter.api.Test;

/**
 * The reserve for urgent jobs ends by itself: it lasted as long as the leader led, and a guest's job that had begun waited beside an
 * empty machine. Class c is urgent; class slow has 450 s until its jobs are to be complete.
 */
class HeadroomReserveTest {

    private static final double FLEET_CPUS = 1000;
    private static final long MINUTE_MS = 60_000;

    private final SchedulerConfig config = TestConfig.small()
            .objectives(
                    new SchedulerConfig.ServiceLevelObjective(SchedulerConfig.ObjectiveKind.START, "c", 2, 0.9, 0),
                    new SchedulerConfig.ServiceLevelObjective(
                            SchedulerConfig.ObjectiveKind.COMPLETION, "slow", 450, 0.9, 0))
            .build();
    private final ReplicatedState state = new ReplicatedState();
    private final HeadroomReserve reserve = new HeadroomReserve(config);

    private JobView submit(JobSpec job) {
        state.commit(new Transaction().put(Keys.job(job.id()), Records.job(new JobRecord(job, JobState.LIVE, 0))));
        return state.replica.job(job.id());
    }

    private void observe(long now) {
        reserve.observe(now, state.replica.jobs());
    }

    @Test
    void aClassReservesNothingAMinuteAfterItsLastJob() {
        submit(TestJob.named("wk-1").tasks(8).cpus(2).build());
        observe(0);
        observe(MINUTE_MS);
        assertEquals(16, reserve.cpus(FLEET_CPUS, false), "one usual job");
        observe(MINUTE_MS + 1);
        assertEquals(0, reserve.cpus(FLEET_CPUS, false));
        submit(TestJob.named("wk-2").tasks(4).cpus(2).build());
        observe(MINUTE_MS + 2);
        assertEquals(8, reserve.cpus(FLEET_CPUS, false), "it reserves again with its next job");
    }

    @Test
    void aJobWithoutPlacedTasksIsOverdueAfterTheLongestTimeOfHoldingBack() {
        JobView job = submit(
                TestJob.named("wk-1").jobClass("guest").priority(Priority.LOW).build());
        observe(1000);
        assertFalse(reserve.isOverdue(999 + Times.MAX_HOLD_BACK_MS, job));
        assertTrue(reserve.isOverdue(1000 + Times.MAX_HOLD_BACK_MS, job));
    }

    @Test
    void aLongObjectiveDoesNotHoldAJobBackForLonger() {
        submit(TestJob.named("wk-1").priority(Priority.HIGH).build());
        JobView slow = submit(TestJob.named("wk-2").jobClass("slow").build());
        observe(0);
        assertTrue(reserve.appliesTo(slow, false, Times.MAX_HOLD_BACK_MS - 1));
        assertFalse(reserve.appliesTo(slow, false, Times.MAX_HOLD_BACK_MS));
    }
}

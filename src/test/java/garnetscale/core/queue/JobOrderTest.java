package garnetscale.core.queue;

import static org.junit.jupiter.api.Assertions.assertEquals;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.TestConfig;
import garnetscale.core.job.JobRecord;
import garnetscale.core.job.JobSpec;
import garnetscale.core.job.JobState;
import garnetscale.core.job.Priority;
import garnetscale.core.job.TestJob;
import garnetscale.core.state.KeyChange;
import garnetscale.core.state.Keys;
import garnetscale.core.state.Records;
import garnetscale.core.state.StateReplica;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Shorter first, urgent first, missed deadlines last; and none of it for ever. */
class JobOrderTest {

    private static final long CANCEL_MS = 40_000;

    private final List<KeyChange> jobs = new ArrayList<>();

    private void job(String id, Priority priority, int tasks, long submittedMs, Double deadlineS) {
        JobSpec spec = TestJob.named(id)
                .priority(priority)
                .tasks(tasks)
                .cpus(2)
                .imageGb(1)
                .estimateS(30)
                .deadlineS(deadlineS)
                .build();
        jobs.add(new KeyChange(Keys.job(id), Records.job(new JobRecord(spec, JobState.LIVE, submittedMs)), 1));
    }

    private List<String> sorted(long nowMs) {
        StateReplica replica = new StateReplica();
        replica.reset(jobs, 1);
        JobOrder order = new JobOrder(TestConfig.small()
                .controllers(List.of())
                .objectives(new SchedulerConfig.ServiceLevelObjective(
                        SchedulerConfig.ObjectiveKind.DEADLINE, "c", 0, 0.9, 1))
                .workers(1000, 10_000, CANCEL_MS)
                .build());
        return JobQueue.sort(replica.jobs(), order, nowMs).stream()
                .map(job -> job.spec().id())
                .toList();
    }

    @Test
    void urgentThenShortThenMissed() {
        job("wk-long", Priority.NORMAL, 90, 0, null);
        job("wk-short", Priority.NORMAL, 3, 0, null);
        job("wk-late", Priority.NORMAL, 1, 0, 20.0);
        job("wk-urgent", Priority.HIGH, 90, 0, null);
        assertEquals(List.of("wk-urgent", "wk-short", "wk-long", "wk-late"), sorted(1000));
    }

    /** Shorter ones keep coming and a deadline is missed: both once kept the largest jobs from ever starting. */
    @Test
    void whatHasNotStartedComesToTheHead() {
        job("wk-long", Priority.NORMAL, 90, 0, 50.0);
        long later = CANCEL_MS * 3 / 2 + 1000;
        job("wk-short", Priority.NORMAL, 1, later - 10, null);
        job("wk-urgent", Priority.HIGH, 1, later - 10, null);
        assertEquals(List.of("wk-urgent", "wk-long", "wk-short"), sorted(later));
    }

    @Test
    void evenBeforeUrgentOnesAfterTwiceThatTime() {
        job("wk-long", Priority.LOW, 90, 0, null);
        long later = 3 * CANCEL_MS + 1000;
        job("wk-urgent", Priority.HIGH, 1, later - 10, null);
        assertEquals(List.of("wk-long", "wk-urgent"), sorted(later));
    }
}

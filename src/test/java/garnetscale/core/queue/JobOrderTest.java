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

/** The order by priority, missed deadlines and work, and the bounds that prevent starvation. */
class JobOrderTest {

    private static final long CANCELLATION_DEADLINE_MS = 40_000;

    private final List<KeyChange> jobs = new ArrayList<>();

    private void addJob(String id, Priority priority, int tasks, long submittedMs, Double deadlineS) {
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
                .workers(1000, 10_000, CANCELLATION_DEADLINE_MS)
                .build());
        return JobQueue.sort(replica.jobs(), order, nowMs).stream()
                .map(job -> job.spec().id())
                .toList();
    }

    @Test
    void ordersByPriorityThenMissedDeadlineThenWork() {
        addJob("wk-long", Priority.NORMAL, 90, 0, null);
        addJob("wk-short", Priority.NORMAL, 3, 0, null);
        addJob("wk-late", Priority.NORMAL, 1, 0, 20.0);
        addJob("wk-urgent", Priority.HIGH, 90, 0, null);
        assertEquals(List.of("wk-urgent", "wk-short", "wk-long", "wk-late"), sorted(1000));
    }

    /**
     * Guards against starvation: shorter jobs that keep arriving, and a missed deadline, each kept the largest jobs from ever
     * starting.
     */
    @Test
    void unstartedJobMovesToTheHeadOfItsPriority() {
        addJob("wk-long", Priority.NORMAL, 90, 0, 50.0);
        long later = CANCELLATION_DEADLINE_MS * 3 / 2 + 1000;
        addJob("wk-short", Priority.NORMAL, 1, later - 10, null);
        addJob("wk-urgent", Priority.HIGH, 1, later - 10, null);
        assertEquals(List.of("wk-urgent", "wk-long", "wk-short"), sorted(later));
    }

    @Test
    void unstartedJobOvertakesHigherPriorityAfterTwiceTheLimit() {
        addJob("wk-long", Priority.LOW, 90, 0, null);
        long later = 3 * CANCELLATION_DEADLINE_MS + 1000;
        addJob("wk-urgent", Priority.HIGH, 1, later - 10, null);
        assertEquals(List.of("wk-long", "wk-urgent"), sorted(later));
    }
}

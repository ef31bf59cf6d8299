package garnetscale.core.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.job.JobSpec;
import garnetscale.core.job.TestJob;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** The number of tasks that a team's limit allows, computed at once, is what adding one task after the other gives. */
class QuotaUsagePropertiesTest {

    private static final String SEED = "4711";
    /** Amounts are multiples of half a CPU, so that sums of them are exact. */
    private static final double UNIT_CPUS = 0.5;

    private static QuotaUsage usage(double cpusMax) {
        return new QuotaUsage(Map.of("red", new SchedulerConfig.Team("red", 0, cpusMax, 0, Double.POSITIVE_INFINITY)));
    }

    private static JobSpec job(double cpus) {
        return TestJob.named("wk-1").cpus(cpus).build();
    }

    @Property(tries = 500, seed = SEED)
    void allowedTasksAreAsManyAsAreAllowedOneByOne(
            @ForAll @IntRange(max = 400) int limitUnits,
            @ForAll @IntRange(max = 500) int usedUnits,
            @ForAll @IntRange(max = 40) int taskUnits,
            @ForAll @IntRange(max = 300) int tasks) {
        QuotaUsage usage = usage(limitUnits * UNIT_CPUS);
        usage.add(job(UNIT_CPUS), usedUnits);
        JobSpec job = job(taskUnits * UNIT_CPUS);
        int allowed = usage.allowedTasks(job, tasks);

        int oneByOne = 0;
        while (oneByOne < tasks && usage.allows(job)) {
            usage.add(job, 1);
            oneByOne++;
        }
        assertEquals(oneByOne, allowed);
    }

    /** 100 jobs of 100,000 tasks once kept the leader busy for longer than its session lease. */
    @Test
    void anyNumberOfTasksIsAllowedWithoutALimit() {
        assertEquals(100_000, usage(Double.POSITIVE_INFINITY).allowedTasks(job(4), 100_000));
        assertEquals(0, new QuotaUsage(Map.of()).allowedTasks(job(4), 1), "unknown team");
        assertTrue(usage(Double.POSITIVE_INFINITY).allows(job(4)));
    }
}

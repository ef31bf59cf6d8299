package garnetscale.core.leader;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetscale.core.job.TaskId;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Distinguishing jobs that fail by their own fault from faulty machines. */
class FailureTrackerTest {

    private final FailureTracker failures = new FailureTracker();

    private static TaskId task(String job, int index) {
        return new TaskId(job, index);
    }

    /** Number of machines that the jobs fit. */
    private static final int MACHINES = 100;

    private void failOnDifferentMachines(long now, String job, int tasks) {
        for (int i = 0; i < tasks; i++) {
            failures.recordFailure(now, task(job, i), "m-" + i, MACHINES);
        }
    }

    /** All tasks of a quarantined job, hundreds of them, were once started again after each backoff, and failed again. */
    @Test
    void aQuarantinedJobIsRetriedOneTaskAtATimeWithGrowingBackoff() {
        failOnDifferentMachines(0, "wk-1", 60);
        assertEquals(Set.of("wk-1"), failures.quarantinedJobs());
        assertEquals(0, failures.allowedPlacements(999, "wk-1", 0));
        assertEquals(1, failures.allowedPlacements(1000, "wk-1", 0));
        assertEquals(0, failures.allowedPlacements(1000, "wk-1", 1));
        failures.recordFailure(1000, task("wk-1", 0), "m-7", MACHINES);
        assertEquals(0, failures.allowedPlacements(2999, "wk-1", 0));
        assertEquals(1, failures.allowedPlacements(3000, "wk-1", 0));
    }

    @Test
    void aJobThatCompletesATaskIsNoLongerQuarantined() {
        failOnDifferentMachines(0, "wk-1", 3);
        failures.recordCompletion(task("wk-1", 9));
        assertFalse(failures.isQuarantined("wk-1"));
        assertEquals(Integer.MAX_VALUE, failures.allowedPlacements(0, "wk-1", 5));
        assertFalse(failures.recordFailure(0, task("wk-1", 0), "m-0", MACHINES), "the machine is at fault");
    }

    /** A task that always fails must be held against machines only a few times, while the other tasks of its job continue. */
    @Test
    void singleTasksOfAJobThatSucceedsAreQuarantinedToo() {
        failures.recordCompletion(task("wk-1", 9));
        for (int i = 0; i < 3; i++) {
            failures.recordFailure(0, task("wk-1", 0), "m-" + i, MACHINES);
        }
        assertTrue(failures.isQuarantined(task("wk-1", 0)));
        assertFalse(failures.isQuarantined(task("wk-1", 1)));
        assertFalse(failures.mayStart(0, task("wk-1", 0)));
        assertEquals(Set.of(), failures.quarantinedJobs());
    }

    @Test
    void endedJobsAreForgotten() {
        failOnDifferentMachines(0, "wk-1", 3);
        failures.retain(job -> false);
        assertEquals(Set.of(), failures.quarantinedJobs());
    }

    /** Where only two machines fit, a faulty job was never quarantined, and its failures cordoned them for all jobs without end. */
    @Test
    void aJobThatFailsOnAllMachinesThatFitItIsQuarantined() {
        assertFalse(failures.recordFailure(0, task("wk-1", 0), "m-0", 2));
        assertTrue(failures.recordFailure(0, task("wk-1", 0), "m-1", 2));
        assertEquals(Set.of("wk-1"), failures.quarantinedJobs());
    }
}

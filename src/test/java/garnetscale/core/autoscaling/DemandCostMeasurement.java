package garnetscale.core.autoscaling;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.TestConfig;
import garnetscale.core.job.JobRecord;
import garnetscale.core.job.JobState;
import garnetscale.core.job.TestJob;
import garnetscale.core.machine.MachineType;
import garnetscale.core.state.Keys;
import garnetscale.core.state.Records;
import garnetscale.core.state.StateReplica;
import garnetscale.core.state.Transaction;
import garnetscale.emulator.StateModel;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Measures the longest run of the autoscaler by the number of waiting jobs of 100,000 tasks: {@code mvn test
 * -Dtest=DemandCostMeasurement}. Not part of a build.
 */
class DemandCostMeasurement {

    private static final List<Integer> JOBS = List.of(1, 10, 100);
    private static final int TASKS = 100_000;
    private static final int ROUNDS = 50;
    /** Shorter than the interval of listings, so that most runs plan launches. */
    private static final long ROUND_MS = 200;

    private static final List<MachineType> TYPES =
            List.of(new MachineType("t", 32, 0, 128, 30, 1, 1, 0.5, 40, List.of("a")));

    @Test
    void longestRunByNumberOfJobs() {
        for (int jobs : JOBS) {
            System.out.printf(Locale.ROOT, "%4d jobs: longest run %8.2f ms%n", jobs, longestRunMs(jobs));
        }
    }

    private static double longestRunMs(int jobs) {
        SchedulerConfig config = TestConfig.large()
                .controllers(List.of())
                .teams(new SchedulerConfig.Team("red", 0, Double.POSITIVE_INFINITY, 0, Double.POSITIVE_INFINITY))
                .build();
        StateModel state = new StateModel();
        state.commit(new Transaction().put(Keys.TYPES, Records.types(TYPES)));
        for (int i = 0; i < jobs; i++) {
            String id = "wk-" + i;
            JobRecord job = new JobRecord(TestJob.named(id).tasks(TASKS).cpus(2).build(), JobState.LIVE, 0);
            state.commit(new Transaction().put(Keys.job(id), Records.job(job)));
        }
        StateReplica replica = new StateReplica();
        replica.reset(state.list(Keys.REPLICATED, null, 1000), state.revision());
        Autoscaler autoscaler = new Autoscaler(config, replica, line -> {});
        autoscaler.start(0, 1);
        autoscaler.onTypes(TYPES);
        double longestMs = 0;
        for (int round = 1; round <= ROUNDS; round++) {
            long startNs = System.nanoTime();
            CloudCall call = autoscaler.next(ROUND_MS * round, List.of(), List.of(), Set.of());
            longestMs = Math.max(longestMs, (System.nanoTime() - startNs) / 1e6);
            if (call instanceof CloudCall.ListInstances) {
                autoscaler.onPage(ROUND_MS * round, List.of(), false);
            }
        }
        return longestMs;
    }
}

package garnetscale.core.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Fixture of the {@code Concurrent…Test}s: scenarios in which two failures coincide. Each scenario counts the events that it is
 * meant to produce, and its test fails if they occurred too seldom. docs/meetings.md lists the scenarios, and for each the guard
 * in the code whose removal made it fail.
 */
final class ConcurrentFailures {

    /** Number of seeds for most scenarios; {@code -Dmeetings=60} runs more. */
    static final int SEEDS = Integer.getInteger("meetings", 6);

    private static final int LONG_TASK_S = 70;
    /** Time by which scenarios have injected their last failure. */
    private static final long FAILURES_END_MS = 130_000;
    /** Time by which every job must be terminal. */
    private static final long END_MS = 700_000;

    private static final long POLL_MS = 5000;
    /** Time that a scenario runs on once all jobs are terminal; no terminal state may change in that time. */
    private static final long QUIET_MS = 30_000;

    /** Runs a scenario with {@link #SEEDS} seeds; returns how often each event occurred, summed over all seeds. */
    static Map<String, Integer> play(Consumer<SimulatedCluster> script) {
        return play(SEEDS, script);
    }

    /** Runs a scenario with seeds from 1; PROTOCOL's rules must hold for each seed, and all jobs must become terminal. */
    static Map<String, Integer> play(int seeds, Consumer<SimulatedCluster> script) {
        Map<String, Integer> occurred = new TreeMap<>();
        for (long seed = 1; seed <= seeds; seed++) {
            SimulatedCluster cluster = new SimulatedCluster(seed, SimulatedCluster.Fault.NONE, ClusterShape.SMALL);
            cluster.watches = true;
            cluster.users.lostNoticeShare = 0.5;
            script.accept(cluster);
            cluster.run(FAILURES_END_MS);
            settle(cluster);
            assertEquals(List.of(), cluster.rules.violations, "seed " + seed);
            cluster.occurrences.forEach((event, times) -> occurred.merge(event, times, Integer::sum));
            occurred.merge("starts after a cancellation", cluster.rules.startsAfterCancel, Integer::sum);
            occurred.merge("starts", cluster.rules.starts, Integer::sum);
        }
        return occurred;
    }

    /**
     * Runs until all submitted jobs are terminal, and checks that they stay so for {@link #QUIET_MS}. Adds a violation for each
     * job that isn't terminal by {@link #END_MS}.
     */
    private static void settle(SimulatedCluster cluster) {
        for (long time = cluster.now; time < END_MS; time += POLL_MS) {
            cluster.run(time);
            if (cluster.rules.jobs.keySet().stream().allMatch(cluster.users::poll)) {
                cluster.run(time + QUIET_MS);
                cluster.rules.jobs.keySet().forEach(cluster.users::poll);
                return;
            }
        }
        cluster.rules.jobs.keySet().stream()
                .filter(job -> !cluster.users.poll(job))
                .forEach(job -> cluster.rules.violations.add("not terminal: " + job));
    }

    /**
     * Asserts that each event occurred at least {@code times} times; otherwise the scenario does not test what it is meant to.
     */
    static void assertOccurred(Map<String, Integer> occurred, int times, String... events) {
        for (String event : events) {
            assertTrue(occurred.getOrDefault(event, 0) >= times, event + ": " + occurred);
        }
    }

    /** Submits jobs with two long tasks each, so that all machines run long tasks from the first seconds on. */
    static void submitLongJobs(SimulatedCluster cluster, int jobs) {
        for (int i = 0; i < jobs; i++) {
            String id = "wk-1" + i;
            cluster.at(
                    1000 + 100L * i,
                    () -> cluster.users.submit(id, id.hashCode() % 2 == 0 ? "red" : "blue", 2, 2, LONG_TASK_S));
        }
    }

    /** Submits short jobs at random times within a period, so that placements keep changing. */
    static void submitShortJobs(SimulatedCluster cluster, int jobs, int periodMs) {
        for (int i = 0; i < jobs; i++) {
            String id = "wk-2" + i;
            int tasks = 1 + cluster.random.nextInt(5);
            int seconds = 1 + cluster.random.nextInt(8);
            cluster.at(
                    1000 + cluster.random.nextInt(periodMs),
                    () -> cluster.users.submit(id, cluster.random.nextBoolean() ? "red" : "blue", tasks, 1, seconds));
        }
    }

    /**
     * Cancels all jobs that run on matching machines, and counts each as {@code event}.
     *
     * @param excludedNode controller at which no job is cancelled; an empty string excludes none
     */
    static void cancelRunning(SimulatedCluster cluster, String excludedNode, Predicate<String> machines, String event) {
        Set<String> jobs = new HashSet<>();
        cluster.rules.running().forEach((task, machine) -> {
            if (machines.test(machine)) {
                jobs.add(task.job());
            }
        });
        for (String id : new TreeSet<>(jobs)) {
            if (!cluster.rules.isCancelled(id)
                    && cluster.nodes.stream()
                            .anyMatch(
                                    node -> !node.name.equals(excludedNode) && cluster.users.cancelAt(node.name, id))) {
                cluster.countOccurrence(event);
            }
        }
    }

    /**
     * Keeps the demand of both teams above their limits, so that capacity that is freed too early is used by other jobs at once.
     */
    static void submitBeyondTeamLimits(SimulatedCluster cluster) {
        for (int i = 0; i < 70; i++) {
            String id = "wk-3" + i;
            int seconds = 5 + cluster.random.nextInt(25);
            cluster.at(
                    1000 + 1300L * i,
                    () -> cluster.users.submit(id, cluster.random.nextBoolean() ? "red" : "blue", 3, 2, seconds));
        }
    }

    private ConcurrentFailures() {}
}

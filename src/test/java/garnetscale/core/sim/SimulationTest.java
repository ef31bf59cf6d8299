package garnetscale.core.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Seeded scenarios with random failures, checked by {@link ProtocolRules} against what the workers really run. */
class SimulationTest {

    private static final int SEEDS = Integer.getInteger("seeds", 80);
    private static final long FAILURES_END_MS = 150_000;

    /** Runs a scenario with ten random failures; all jobs must become terminal within 500 s after the last one. */
    private static SimulatedCluster playScenario(long seed, SimulatedCluster.Fault fault) {
        return playScenario(seed, fault, ClusterShape.SMALL, 14, 12);
    }

    private static SimulatedCluster playScenario(
            long seed, SimulatedCluster.Fault fault, ClusterShape shape, int jobCount, int maxTasks) {
        return playScenario(seed, fault, shape, jobCount, maxTasks, false);
    }

    private static SimulatedCluster playScenario(
            long seed,
            SimulatedCluster.Fault fault,
            ClusterShape shape,
            int jobCount,
            int maxTasks,
            boolean extraJobs) {
        SimulatedCluster cluster = new SimulatedCluster(seed, fault, shape);
        List<String> jobs = new ArrayList<>();
        if (extraJobs) {
            scheduleExtraJobs(cluster, jobs);
        }
        scheduleJobs(cluster, jobCount, maxTasks, jobs);
        for (int i = 0; i < 10; i++) {
            cluster.at(5000 + cluster.random.nextInt((int) FAILURES_END_MS - 5000), () -> injectFailure(cluster));
        }
        cluster.run(FAILURES_END_MS);
        runUntilTerminal(cluster, jobs);
        return cluster;
    }

    /** Schedules 150 jobs of one task each, and one job array of 1500 tasks. */
    private static void scheduleExtraJobs(SimulatedCluster cluster, List<String> jobs) {
        for (int i = 0; i < 150; i++) {
            String id = "wk-swarm" + i;
            jobs.add(id);
            cluster.at(40_000 + cluster.random.nextInt(10_000), () -> cluster.users.submit(id, "blue", 1, 0.25, 15));
        }
        jobs.add("wk-giant");
        cluster.at(30_000, () -> cluster.users.submit("wk-giant", "blue", 1500, 0.5, 1));
    }

    /**
     * Schedules random jobs. Some fail on every machine until they are cancelled after the last failure; users cancel some
     * others.
     */
    private static void scheduleJobs(SimulatedCluster cluster, int jobCount, int maxTasks, List<String> jobs) {
        for (int i = 0; i < jobCount; i++) {
            String id = "wk-" + i;
            jobs.add(id);
            String team = cluster.random.nextBoolean() ? "red" : "blue";
            int tasks = 1 + cluster.random.nextInt(maxTasks);
            double cpus = 1 + cluster.random.nextInt(4);
            double seconds = 1 + cluster.random.nextInt(25);
            cluster.at(
                    cluster.random.nextInt((int) FAILURES_END_MS),
                    () -> cluster.users.submit(id, team, tasks, cpus, seconds));
            if (cluster.random.nextInt(12) == 0) {
                cluster.failingJobs.add(id);
                cluster.at((int) FAILURES_END_MS + 60_000, () -> cluster.users.cancel(id));
            } else if (cluster.random.nextInt(4) == 0) {
                cluster.at(cluster.random.nextInt((int) FAILURES_END_MS) + 20_000, () -> cluster.users.cancel(id));
            }
        }
    }

    /** Runs until all jobs are reported terminal to users, and 70 s longer, in which no reported state may change. */
    private static void runUntilTerminal(SimulatedCluster cluster, List<String> jobs) {
        for (long time = FAILURES_END_MS; time < FAILURES_END_MS + 500_000; time += 5000) {
            cluster.run(time);
            if (jobs.stream().filter(job -> cluster.rules.jobs.containsKey(job)).allMatch(cluster.users::poll)) {
                cluster.run(time + 70_000);
                jobs.forEach(cluster.users::poll);
                return;
            }
        }
        jobs.stream()
                .filter(job -> !cluster.users.poll(job))
                .forEach(job -> cluster.rules.violations.add("not terminal: " + job));
    }

    /** Injects one of 17 kinds of failure, at random. */
    static void injectFailure(SimulatedCluster cluster) {
        String node = cluster.nodes.get(cluster.random.nextInt(cluster.shape.nodes())).name;
        String worker = cluster.workers.get(cluster.random.nextInt(cluster.workers.size())).id;
        long ms = 1000 + cluster.random.nextInt(40_000);
        switch (cluster.random.nextInt(17)) {
            case 0 ->
                cluster.nodes
                        .get(cluster.random.nextInt(cluster.shape.nodes()))
                        .crash(cluster.random.nextInt(3) == 0 ? 100 : 5000);
            case 1 -> cluster.nodes.forEach(each -> each.crash(4000 + cluster.random.nextInt(2000)));
            case 2 -> cluster.network.cut(node, ms);
            case 3 -> cluster.network.cut(worker, ms);
            case 4 -> cluster.network.cut(node + ">state", ms);
            case 5 -> {
                cluster.network.cut(node + ">state", ms);
                cluster.network.cut("state>" + node, ms);
            }
            case 6 -> {
                cluster.state.outageUntil = cluster.now + ms;
                cluster.at(ms, () -> cluster.state.model.renewAllLeases(cluster.now));
            }
            case 7 -> cluster.network.cut(worker + ">" + node, ms);
            case 8 -> cluster.nodes.forEach(each -> cluster.network.cut(each.name + ">" + worker, ms));
            case 9 -> cluster.lateCopiesUntil = cluster.now + ms;
            case 10 -> cluster.network.cutFromAllButWorkers(node, ms);
            case 11 -> cluster.network.freeze(node, ms);
            // All controllers crash and restart within 0.5 s, and one crashes again during the election that follows.
            case 12 -> {
                cluster.nodes.forEach(each -> each.crash(100 + cluster.random.nextInt(400)));
                cluster.at(300 + cluster.random.nextInt(2000), () -> cluster.nodes
                        .get(cluster.random.nextInt(cluster.shape.nodes()))
                        .crash(100));
            }
            // A controller is isolated from the workers, and from nothing else.
            case 13 ->
                cluster.workers.forEach(each -> {
                    cluster.network.cut(each.id + ">" + node, ms);
                    cluster.network.cut(node + ">" + each.id, ms);
                });
            // The leader freezes twice, with another failure during the first time.
            case 14 -> {
                cluster.network.freeze(cluster.leader(), ms / 2);
                cluster.at(ms / 4, () -> injectFailure(cluster));
                cluster.at(ms / 2 + 500, () -> cluster.network.freeze(cluster.leader(), ms / 2));
            }
            // The leader loses one direction of its link to the state service; a controller crashes meanwhile.
            case 15 -> {
                cluster.network.cut(
                        cluster.random.nextBoolean() ? cluster.leader() + ">state" : "state>" + cluster.leader(), ms);
                cluster.at(ms / 2, () -> cluster.nodes
                        .get(cluster.random.nextInt(cluster.shape.nodes()))
                        .crash(100 + cluster.random.nextInt(5000)));
            }
            default -> cluster.network.cut(node + ">" + worker, ms);
        }
    }

    @Test
    void noRuleIsBrokenByRandomFailures() {
        int starts = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            SimulatedCluster cluster = playScenario(seed, SimulatedCluster.Fault.NONE);
            assertEquals(List.of(), cluster.rules.violations, "seed " + seed);
            starts += cluster.rules.starts;
        }
        assertTrue(starts > 20 * SEEDS, "only " + starts + " starts");
    }

    /**
     * Many one-task jobs, and a job array far larger than the cluster, whose set of finished tasks is stored in several parts.
     */
    @Test
    void noRuleIsBrokenByManySmallJobsAndALargeArray() {
        for (long seed = 1; seed <= 4; seed++) {
            SimulatedCluster cluster =
                    playScenario(seed, SimulatedCluster.Fault.NONE, ClusterShape.SMALL, 14, 12, true);
            assertEquals(List.of(), cluster.rules.violations, "seed " + seed);
            assertTrue(cluster.rules.starts > 1650, "only " + cluster.rules.starts + " starts");
        }
    }

    /**
     * Guards against endless restarts of a job that fails on every machine: all its tasks were started again after each pause,
     * until the job was cancelled.
     */
    @Test
    void jobsThatFailEverywhereCostFewStarts() {
        int tasks = 0;
        int starts = 0;
        for (long seed = 1; seed <= 20; seed++) {
            SimulatedCluster cluster = playScenario(seed, SimulatedCluster.Fault.NONE);
            for (String id : cluster.failingJobs) {
                tasks += cluster.rules.jobs.get(id).tasks();
                starts += cluster.rules.startsByJob.getOrDefault(id, 0);
            }
        }
        assertTrue(tasks > 50, "only " + tasks + " tasks that always fail");
        assertTrue(starts < 4 * tasks, starts + " starts of " + tasks + " tasks that always fail");
    }

    /**
     * Guards against declaring a machine's tasks terminated too early: the first message from a new agent epoch was an answer to
     * a command, and the epoch was taken as ended at once instead of after its lease.
     */
    @Test
    void aNewAgentEpochHasItsWholeLease() {
        assertEquals(List.of(), playScenario(30, SimulatedCluster.Fault.NONE).rules.violations);
    }

    /** Hundreds of machines, as in the larger deployments, so that size bounds and rate limits take effect. */
    @Test
    void noRuleIsBrokenInLargerClusters() {
        for (ClusterShape shape : List.of(ClusterShape.THREE_ZONES, ClusterShape.FIVE_NODES)) {
            SimulatedCluster cluster = playScenario(7, SimulatedCluster.Fault.NONE, shape, 40, 120);
            assertEquals(List.of(), cluster.rules.violations, shape.toString());
            assertTrue(cluster.rules.starts > 1000, "only " + cluster.rules.starts + " starts");
        }
    }

    @Test
    void aFaultInALargerClusterIsDetected() {
        assertFalse(playScenario(7, SimulatedCluster.Fault.FALSE_TERMINATION, ClusterShape.FIVE_NODES, 40, 120)
                .rules
                .violations
                .isEmpty());
    }

    @Test
    void freeingWithoutProofIsDetected() {
        List<String> violations = new ArrayList<>();
        for (long seed = 1; seed <= 5; seed++) {
            violations.addAll(playScenario(seed, SimulatedCluster.Fault.FALSE_TERMINATION).rules.violations);
        }
        assertFalse(violations.stream().noneMatch(violation -> violation.contains("ran_twice")), violations.toString());
    }
}

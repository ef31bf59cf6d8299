package garnetscale.core.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.balance.BalanceSettings;
import garnetscale.core.job.JobSpec;
import garnetscale.core.job.Priority;
import garnetscale.core.job.TestJob;
import garnetscale.core.machine.MachineType;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * A job that has begun goes on beside a machine with room, whatever the room is kept for. The other machines have work for the whole
 * time, and {@link LeftWaitingRule} checks that the job isn't left waiting.
 */
class HeldBackJobTest {

    private static final int SEEDS = 6;
    private static final int MACHINES = 6;
    private static final double MACHINE_CPUS = 8;
    private static final double LONG_TASK_S = 600;
    private static final long END_MS = 220_000;
    private static final String GUEST_JOB = "wk-guest";

    private static final int VALUE_BYTES = 16 * 1024;
    private static final List<String> ZONES = List.of("a", "b");
    private static final MachineType SMALL = new MachineType("small", 8, 0, 32, 20, 1, 1, 0.5, 20, ZONES);
    private static final MachineType LARGE = new MachineType("large", 32, 0, 128, 20, 1, 1, 0.5, 20, ZONES);

    private static final ClusterShape SHAPE = new ClusterShape(
            3,
            ZONES,
            MACHINES,
            VALUE_BYTES,
            List.of(SimulatedCluster.TYPE),
            List.of(new SchedulerConfig.ServiceLevelObjective(SchedulerConfig.ObjectiveKind.START, "c", 2, 0.9, 0)),
            MACHINES * MACHINE_CPUS,
            MACHINES * MACHINE_CPUS,
            BalanceSettings.OFF);

    private static JobSpec busy(String id, String team, int machines) {
        return TestJob.named(id)
                .jobClass("night")
                .team(team)
                .tasks(machines)
                .cpus(MACHINE_CPUS)
                .estimateS(LONG_TASK_S)
                .build();
    }

    private static JobSpec urgent(String id, int tasks, double cpus, double seconds) {
        return TestJob.named(id)
                .priority(Priority.HIGH)
                .tasks(tasks)
                .cpus(cpus)
                .estimateS(seconds)
                .build();
    }

    /**
     * Submits long work for five of the six machines, which also uses the guarantee of the guest's team, and a job of the guest with
     * two tasks, the first of which begins on the sixth machine.
     */
    private static SimulatedCluster clusterWithGuestJob(long seed) {
        SimulatedCluster cluster = new SimulatedCluster(seed, SimulatedCluster.Fault.NONE, SHAPE);
        cluster.at(3000, () -> cluster.users.submit(busy("wk-red", "red", 4)));
        cluster.at(3000, () -> cluster.users.submit(busy("wk-blue", "blue", 1)));
        cluster.at(
                8000,
                () -> cluster.users.submit(TestJob.named(GUEST_JOB)
                        .jobClass("guest")
                        .team("blue")
                        .priority(Priority.LOW)
                        .tasks(2)
                        .cpus(6)
                        .estimateS(12)
                        .build()));
        return cluster;
    }

    private static void assertGuestJobCompletes(SimulatedCluster cluster, long seed) {
        cluster.run(END_MS);
        assertEquals(List.of(), cluster.rules.violations, "seed " + seed);
        assertTrue(cluster.rules.isComplete(GUEST_JOB), "seed " + seed);
    }

    private static void submitBurst(SimulatedCluster cluster) {
        for (int i = 0; i < 3; i++) {
            String id = "wk-" + i;
            cluster.at(13_000, () -> cluster.users.submit(urgent(id, 4, 2, 2)));
        }
    }

    /**
     * A burst of urgent jobs is over, and no urgent job follows. The reserve for such jobs, which never faded, kept the second task of a
     * job of low priority, beyond its team's guarantee, from the only free machine.
     */
    @Test
    void theReserveForUrgentJobsEndsAfterABurst() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            SimulatedCluster cluster = clusterWithGuestJob(seed);
            submitBurst(cluster);
            assertGuestJobCompletes(cluster, seed);
        }
    }

    /** Small urgent jobs keep coming after the burst, so that the reserve stays. It kept the job waiting for as long as they came. */
    @Test
    void theReserveDoesNotKeepAJobWaitingWhileUrgentJobsKeepComing() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            SimulatedCluster cluster = clusterWithGuestJob(seed);
            submitBurst(cluster);
            for (int i = 3; i < 13; i++) {
                String id = "wk-" + i;
                cluster.at(20_000L * (i - 1), () -> cluster.users.submit(urgent(id, 4, 0.5, 1)));
            }
            assertGuestJobCompletes(cluster, seed);
        }
    }

    /**
     * A more urgent job that only large machines fit was submitted with a mistake and waits until its user cancels it. The large
     * machines were kept for it, and a job that had begun on them got none any more.
     */
    @Test
    void aQuarantinedJobDoesNotKeepScarceMachinesFromAJobThatHasBegun() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            SimulatedCluster cluster = clusterWithFaultyJob(seed, 2 * MACHINES);
            assertEquals(List.of(), cluster.rules.violations, "seed " + seed);
            assertTrue(cluster.rules.isComplete(GUEST_JOB), "seed " + seed);
        }
    }

    /**
     * The same with two large machines, on which the faulty job fails without being quarantined. Its failures cordoned them for all
     * jobs, again and again.
     */
    @Test
    void aFaultyJobThatFewMachinesFitDoesNotKeepThemFromAJobThatHasBegun() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            assertEquals(List.of(), clusterWithFaultyJob(seed, MACHINES).rules.violations, "seed " + seed);
        }
    }

    /** Plays a cluster in which a third of the machines are large and empty, and all others have work for the whole time. */
    private static SimulatedCluster clusterWithFaultyJob(long seed, int machines) {
        ClusterShape shape = new ClusterShape(3, ZONES, machines, VALUE_BYTES).withTypes(List.of(SMALL, LARGE, SMALL));
        SimulatedCluster cluster = new SimulatedCluster(seed, SimulatedCluster.Fault.NONE, shape);
        cluster.at(
                1000,
                () -> cluster.users.submit(TestJob.named("wk-busy")
                        .types(List.of("small"))
                        .tasks(machines * 2 / 3)
                        .cpus(MACHINE_CPUS)
                        .estimateS(LONG_TASK_S)
                        .build()));
        cluster.at(
                6000,
                () -> cluster.users.submit(TestJob.named(GUEST_JOB)
                        .team("blue")
                        .tasks(40)
                        .cpus(MACHINE_CPUS)
                        .estimateS(6)
                        .build()));
        cluster.failingJobs.add("wk-faulty");
        cluster.at(
                10_000,
                () -> cluster.users.submit(TestJob.named("wk-faulty")
                        .priority(Priority.HIGH)
                        .tasks(4)
                        .cpus(2 * MACHINE_CPUS)
                        .build()));
        cluster.run(END_MS);
        return cluster;
    }
}

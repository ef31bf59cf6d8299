package garnetscale.core.leader;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.TestConfig;
import garnetscale.core.Times;
import garnetscale.core.job.TaskId;
import garnetscale.core.machine.ExitCause;
import garnetscale.core.machine.Placement;
import garnetscale.core.machine.TaskState;
import garnetscale.core.machine.TaskStatus;
import garnetscale.core.partition.MachineStatus;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Which machines are cordoned, decommissioned and forgotten. */
class MachineEvaluatorTest {

    private static final long NOW = 100_000;

    private final SchedulerConfig config = TestConfig.large().build();
    private final List<String> log = new ArrayList<>();
    private final LeaderContext context = LeaderContext.of(config, new ReplicatedState().replica, log::add);
    private final MachineEvaluator evaluator = new MachineEvaluator(context);
    private long attempt;

    private MachineState machine(String id, boolean isSilent) {
        MachineState machine = new MachineState(id);
        machine.onStatus(
                NOW,
                new MachineStatus(
                        "n0", 1, "a/0", 1, id, "h:1", "t", "a", false, 1, null, isSilent, List.of(), List.of()),
                context.replica(),
                context.estimator());
        context.machines().put(id, machine);
        return machine;
    }

    private void exit(MachineState machine, String job, ExitCause cause) {
        attempt++;
        exitAgain(machine, job, cause);
    }

    private void exitAgain(MachineState machine, String job, ExitCause cause) {
        exitAt(NOW, machine, job, cause);
    }

    /** Evaluates the exit of the newest attempt at this time. */
    private void exitAt(long now, MachineState machine, String job, ExitCause cause) {
        TaskId task = new TaskId(job, 0);
        evaluator.onExit(
                now,
                machine.id,
                new Placement(task, attempt, 1, Placement.Stop.KEEP),
                new TaskStatus(task, attempt, TaskState.EXITED, cause, false));
    }

    @Test
    void aMachineThatRejectsATaskIsCordonedForAHeartbeatInterval() {
        MachineState machine = machine("m-1", false);
        exit(machine, "wk-1", ExitCause.NO_ROOM);
        assertFalse(machine.acceptsTasks(NOW + config.heartbeatIntervalMs() - 1));
        assertTrue(machine.acceptsTasks(NOW + config.heartbeatIntervalMs()));
    }

    @Test
    void anExitIsEvaluatedOnce() {
        MachineState machine = machine("m-1", false);
        exit(machine, "wk-1", ExitCause.ERROR);
        exitAgain(machine, "wk-1", ExitCause.ERROR);
        assertEquals(1, machine.consecutiveCordons);
        assertEquals(1, log.size(), log.toString());
    }

    @Test
    void aMachineThatFailsTasksOfFourSuccessfulJobsIsDecommissioned() {
        MachineState machine = machine("m-1", false);
        for (int i = 0; i < 4; i++) {
            assertEquals(List.of(), evaluator.emptyDecommissioned());
            context.failures().recordCompletion("wk-" + i);
            exit(machine, "wk-" + i, ExitCause.ERROR);
        }
        assertEquals(List.of("m-1"), evaluator.emptyDecommissioned());
        assertFalse(machine.acceptsTasks(Long.MAX_VALUE));
    }

    /** If several machines of a small fleet seem faulty, the cause is probably something else. */
    @Test
    void inASmallFleetOneMachineIsDecommissionedAtATime() {
        MachineState first = machine("m-1", false);
        MachineState second = machine("m-2", false);
        for (int i = 0; i < 4; i++) {
            context.failures().recordCompletion("wk-" + i);
            exit(first, "wk-" + i, ExitCause.ERROR);
            exit(second, "wk-" + i, ExitCause.ERROR);
        }
        assertEquals(List.of("m-1"), evaluator.emptyDecommissioned());
    }

    @Test
    void aJobThatFailsOnThreeMachinesIsQuarantinedAndTheirCordonsEnd() {
        List<MachineState> machines = List.of(machine("m-1", false), machine("m-2", false), machine("m-3", false));
        machines.forEach(machine -> exit(machine, "wk-1", ExitCause.ERROR));
        assertEquals(Set.of("wk-1"), context.failures().quarantinedJobs());
        assertTrue(evaluator.takeNewlyQuarantined());
        assertFalse(evaluator.takeNewlyQuarantined());
        machines.forEach(machine -> assertTrue(machine.acceptsTasks(NOW), machine.id));
    }

    @Test
    void aSilentMachineWithoutPlacementsIsForgottenAfterTwoLeases() {
        machine("m-1", true);
        machine("m-2", false);
        evaluator.evaluate(NOW + 2 * config.workerLeaseMs());
        assertEquals(Set.of("m-1", "m-2"), context.machines().keySet());
        evaluator.evaluate(NOW + 2 * config.workerLeaseMs() + config.heartbeatIntervalMs());
        assertEquals(Set.of("m-2"), context.machines().keySet());
    }

    /** With heartbeats five seconds apart a machine was cordoned for up to 160 s, far beyond the 90 s that a job may wait. */
    @Test
    void noCordonIsLongerThanAJobMayBeHeldBack() {
        MachineState machine = machine("m-1", false);
        long longestMs = 0;
        long now = NOW;
        for (int i = 0; i < 10; i++) {
            attempt++;
            exitAt(now, machine, "wk-" + i, ExitCause.ERROR);
            longestMs = Math.max(longestMs, machine.cordonedUntil - now);
            now = machine.cordonedUntil;
        }
        assertEquals(Times.MAX_HOLD_BACK_MS, longestMs);
    }
}

package garnetscale.core.leader;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.TestConfig;
import garnetscale.core.cluster.PartitionMap;
import garnetscale.core.partition.MachineStatus;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Which machine statuses the leader accepts. The leader is n0; partition a/0 is leased to n1, and then to another process of it. */
class LeaderMachineStatusTest {

    private static final long TERM = 7;
    private static final long INCARNATION = 2;
    private static final String MACHINE = "m-000001";

    private final SchedulerConfig config = TestConfig.small().build();
    private final ReplicatedState state = new ReplicatedState();
    private final Leader leader = new Leader(config, state.replica, new PartitionMap(config), line -> {});
    private long now = 1_000_000;

    LeaderMachineStatusTest() {
        leader.onLeaseChanged(1);
        state.lead("n0", 1, 1);
        state.lease("a/0", "n1", INCARNATION, TERM);
        assertTrue(leader.leads(now));
    }

    private static MachineStatus status(long incarnation, long term) {
        return new MachineStatus(
                "n1", incarnation, "a/0", term, MACHINE, "h:1", "t", "a", false, 1, null, false, List.of(), List.of());
    }

    /**
     * A new owner publishes an idle machine's status before the leader's replica shows the new lease. The leader dropped it, the
     * status of an idle machine never changes, and jobs waited beside the machine.
     */
    @Test
    void aStatusThatArrivesBeforeTheReplicaShowsTheLeaseIsAccepted() {
        MachineStatus early = status(INCARNATION + 1, TERM + 1);
        leader.onMachineStatus(now, early);
        state.lease("a/0", "n1", INCARNATION + 1, TERM + 1);
        assertEquals(List.of(early), List.copyOf(leader.machines()));
    }

    /**
     * The machine is taken, its owner crashes before it notices, and the next owner never hears of the machine. The leader went on
     * counting it as free capacity, so that no machine was rented for a waiting job.
     */
    @Test
    void aMachineThatOnlyAFormerOwnerHasPublishedIsSilentAfterAWorkerLease() {
        leader.onMachineStatus(now, status(INCARNATION, TERM));
        state.lease("a/0", "n1", INCARNATION + 1, TERM + 1);
        planFor(config.workerLeaseMs());
        assertEquals(List.of(status(INCARNATION, TERM)), List.copyOf(leader.machines()));
        planFor(config.heartbeatIntervalMs());
        assertEquals(List.of(status(INCARNATION, TERM).asSilent()), List.copyOf(leader.machines()));
        planFor(3 * config.workerLeaseMs());
        assertEquals(
                List.of(),
                List.copyOf(leader.machines()),
                "without placements it is forgotten like any silent machine");
    }

    @Test
    void aMachineThatTheNewOwnerPublishesIsNotSilent() {
        leader.onMachineStatus(now, status(INCARNATION, TERM));
        state.lease("a/0", "n1", INCARNATION + 1, TERM + 1);
        planFor(config.workerLeaseMs());
        leader.onMachineStatus(now, status(INCARNATION + 1, TERM + 1));
        planFor(2 * config.workerLeaseMs());
        assertEquals(List.of(status(INCARNATION + 1, TERM + 1)), List.copyOf(leader.machines()));
    }

    /** Lets the leader plan twice per heartbeat interval for this time. */
    private void planFor(long ms) {
        for (long end = now + ms; now < end; now += config.heartbeatIntervalMs() / 2) {
            leader.plan(now);
        }
    }

    @Test
    void aStatusOfAFormerOwnerIsIgnored() {
        state.lease("a/0", "n1", INCARNATION + 1, TERM + 1);
        leader.onMachineStatus(now, status(INCARNATION, TERM));
        leader.onMachineStatus(now, status(INCARNATION, TERM + 1));
        assertEquals(List.of(), List.copyOf(leader.machines()));
    }
}

package garnetscale.core.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Many seeded days of failures, singly and together, with PROTOCOL's rules watched from outside. */
class SimulationTest {

    private static final int SEEDS = Integer.getInteger("seeds", 80);
    private static final long TROUBLE = 150_000;

    /** Plays a day; the jobs must all be over some time after the last failure. */
    private static SimulatedCluster day(long seed, SimulatedCluster.Fault fault) {
        return day(seed, fault, ClusterShape.SMALL, 14, 12);
    }

    private static SimulatedCluster day(
            long seed, SimulatedCluster.Fault fault, ClusterShape shape, int count, int most) {
        return day(seed, fault, shape, count, most, false);
    }

    private static SimulatedCluster day(
            long seed, SimulatedCluster.Fault fault, ClusterShape shape, int count, int most, boolean guests) {
        SimulatedCluster w = new SimulatedCluster(seed, fault, shape);
        List<String> jobs = new ArrayList<>();
        if (guests) {
            for (int i = 0; i < 150; i++) {
                String id = "wk-swarm" + i;
                jobs.add(id);
                w.at(40_000 + w.random.nextInt(10_000), () -> w.submit(id, "blue", 1, 0.25, 15));
            }
            jobs.add("wk-giant");
            w.at(30_000, () -> w.submit("wk-giant", "blue", 1500, 0.5, 1));
        }
        for (int i = 0; i < count; i++) {
            String id = "wk-" + i;
            jobs.add(id);
            String team = w.random.nextBoolean() ? "red" : "blue";
            int tasks = 1 + w.random.nextInt(most);
            double cpus = 1 + w.random.nextInt(4);
            double seconds = 1 + w.random.nextInt(25);
            w.at(w.random.nextInt((int) TROUBLE), () -> w.submit(id, team, tasks, cpus, seconds));
            if (w.random.nextInt(12) == 0) {
                w.broken.add(id);
                w.at((int) TROUBLE + 60_000, () -> w.cancel(id));
            } else if (w.random.nextInt(4) == 0) {
                w.at(w.random.nextInt((int) TROUBLE) + 20_000, () -> w.cancel(id));
            }
        }
        for (int i = 0; i < 10; i++) {
            w.at(5000 + w.random.nextInt((int) TROUBLE - 5000), () -> trouble(w));
        }
        w.run(TROUBLE);
        for (long t = TROUBLE; t < TROUBLE + 500_000; t += 5000) {
            w.run(t);
            if (jobs.stream().filter(j -> w.rules.jobs.containsKey(j)).allMatch(w::poll)) {
                w.run(t + 70_000);
                jobs.forEach(w::poll);
                return w;
            }
        }
        jobs.stream().filter(j -> !w.poll(j)).forEach(j -> w.rules.broken.add("never over: " + j));
        return w;
    }

    static void trouble(SimulatedCluster w) {
        String node = w.nodes.get(w.random.nextInt(w.shape.nodes())).name;
        String worker = w.workers.get(w.random.nextInt(w.workers.size())).id;
        long ms = 1000 + w.random.nextInt(40_000);
        switch (w.random.nextInt(17)) {
            case 0 -> w.nodes.get(w.random.nextInt(w.shape.nodes())).crash(w.random.nextInt(3) == 0 ? 100 : 5000);
            case 1 -> w.nodes.forEach(n -> n.crash(4000 + w.random.nextInt(2000)));
            case 2 -> w.cut(node, ms);
            case 3 -> w.cut(worker, ms);
            case 4 -> w.cut(node + ">state", ms);
            case 5 -> {
                w.cut(node + ">state", ms);
                w.cut("state>" + node, ms);
            }
            case 6 -> {
                w.outageUntil = w.now + ms;
                w.at(ms, () -> w.state.refreshLeases(w.now));
            }
            case 7 -> w.cut(worker + ">" + node, ms);
            case 8 -> w.nodes.forEach(n -> w.cut(n.name + ">" + worker, ms));
            case 9 -> w.copiesUntil = w.now + ms;
            case 10 -> w.cutFromAllButWorkers(node, ms);
            case 11 -> w.freeze(node, ms);
            // All end and are back at once, one of them again amid the election that follows.
            case 12 -> {
                w.nodes.forEach(n -> n.crash(100 + w.random.nextInt(400)));
                w.at(
                        300 + w.random.nextInt(2000),
                        () -> w.nodes.get(w.random.nextInt(w.shape.nodes())).crash(100));
            }
            // A controller that reaches everything but the workers.
            case 13 ->
                w.workers.forEach(x -> {
                    w.cut(x.id + ">" + node, ms);
                    w.cut(node + ">" + x.id, ms);
                });
            // The leader stands still, twice, and something else happens meanwhile.
            case 14 -> {
                w.freeze(w.leader(), ms / 2);
                w.at(ms / 4, () -> trouble(w));
                w.at(ms / 2 + 500, () -> w.freeze(w.leader(), ms / 2));
            }
            // The leader loses the state service one way, and a controller ends before it heals.
            case 15 -> {
                w.cut(w.random.nextBoolean() ? w.leader() + ">state" : "state>" + w.leader(), ms);
                w.at(
                        ms / 2,
                        () -> w.nodes.get(w.random.nextInt(w.shape.nodes())).crash(100 + w.random.nextInt(5000)));
            }
            default -> w.cut(node + ">" + worker, ms);
        }
    }

    @Test
    void noRuleIsBrokenWhateverFails() {
        int starts = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            SimulatedCluster w = day(seed, SimulatedCluster.Fault.NONE);
            assertEquals(List.of(), w.rules.broken, "seed " + seed);
            starts += w.rules.starts;
        }
        assertTrue(starts > 20 * SEEDS, "only " + starts + " starts");
    }

    /** A swarm of single tasks and an array many times the fleet, which needs several parts of a finished set. */
    @Test
    void noRuleIsBrokenByGuests() {
        for (long seed = 1; seed <= 4; seed++) {
            SimulatedCluster w = day(seed, SimulatedCluster.Fault.NONE, ClusterShape.SMALL, 14, 12, true);
            assertEquals(List.of(), w.rules.broken, "seed " + seed);
            assertTrue(w.rules.starts > 1650, "only " + w.rules.starts + " starts");
        }
    }

    /** Submitted with a mistake, a job used to have all its tasks started again after each pause until it was cancelled. */
    @Test
    void jobsThatFailEverywhereCostFewStarts() {
        int tasks = 0;
        int starts = 0;
        for (long seed = 1; seed <= 20; seed++) {
            SimulatedCluster w = day(seed, SimulatedCluster.Fault.NONE);
            for (String id : w.broken) {
                tasks += w.rules.jobs.get(id).tasks();
                starts += w.rules.startsOf.getOrDefault(id, 0);
            }
        }
        assertTrue(tasks > 50, "only " + tasks + " such tasks");
        assertTrue(starts < 4 * tasks, starts + " starts of " + tasks + " tasks that fail");
    }

    /** A machine's first sign of a new session was an answer to a command, and it was called dead at once. */
    @Test
    void aNewSessionHasItsWholeLease() {
        assertEquals(List.of(), day(30, SimulatedCluster.Fault.NONE).rules.broken);
    }

    /** Hundreds of machines, by the shapes of the fleet deployments: what is bounded and paced comes into play. */
    @Test
    void noRuleIsBrokenInAFleet() {
        for (ClusterShape shape : List.of(ClusterShape.THREE_ZONES, ClusterShape.FIVE_NODES)) {
            SimulatedCluster w = day(7, SimulatedCluster.Fault.NONE, shape, 40, 120);
            assertEquals(List.of(), w.rules.broken, shape.toString());
            assertTrue(w.rules.starts > 1000, "only " + w.rules.starts + " starts");
        }
    }

    @Test
    void aFaultInAFleetIsCaught() {
        assertFalse(day(7, SimulatedCluster.Fault.FREE_UNSEEN, ClusterShape.FIVE_NODES, 40, 120)
                .rules
                .broken
                .isEmpty());
    }

    @Test
    void freeingWithoutProofIsCaught() {
        List<String> broken = new ArrayList<>();
        for (long seed = 1; seed <= 5; seed++) {
            broken.addAll(day(seed, SimulatedCluster.Fault.FREE_UNSEEN).rules.broken);
        }
        assertFalse(broken.stream().noneMatch(b -> b.contains("ran_twice")), broken.toString());
    }
}

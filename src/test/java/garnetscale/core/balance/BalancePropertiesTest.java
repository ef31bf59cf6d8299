package garnetscale.core.balance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetscale.core.job.TaskId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** Properties that hold for any sequence of events. Seeds are fixed, so that builds are reproducible. */
class BalancePropertiesTest {

    private static final String SEED = "4711";
    private static final long LEASE = 10_000;
    private static final long WINDOW = 4 * LEASE;

    /** A machine's new load, or its removal if {@code load} is null, {@code afterMs} after the previous change. */
    record LoadChange(int machine, MachineLoad load, int afterMs) {}

    @Provide
    Arbitrary<List<LoadChange>> changes() {
        Arbitrary<MachineLoad> load = Combinators.combine(
                        Arbitraries.of("a", "b"),
                        Arbitraries.of("small", "large"),
                        Arbitraries.of(UnknownReason.values()).injectNull(0.6),
                        Arbitraries.of(true, false),
                        Arbitraries.maps(
                                        Arbitraries.of("red", "blue"),
                                        Arbitraries.longs().between(1, 8000))
                                .ofMaxSize(2))
                .as((zone, type, unknown, serving, usedBy) -> new MachineLoad(
                        new MachineGroup(zone, type), unknown, serving && unknown == null, 8000, usedBy));
        return Combinators.combine(
                        Arbitraries.integers().between(0, 12),
                        load.injectNull(0.15),
                        Arbitraries.integers().between(0, 3000))
                .as(LoadChange::new)
                .list()
                .ofMaxSize(80);
    }

    /** The incremental totals equal totals computed from scratch, and an older snapshot doesn't change. */
    @Property(tries = 300, seed = SEED)
    void incrementalTotalsEqualTotalsFromScratch(@ForAll("changes") List<LoadChange> changes) {
        LoadTracker tracker = new LoadTracker(5000);
        Map<String, MachineLoad> machines = new HashMap<>();
        long now = 0;
        LoadSnapshot before = tracker.snapshot(now, Demand.NONE);
        Map<MachineGroup, GroupTotals> expectedBefore = Map.of();
        for (LoadChange change : changes) {
            now += change.afterMs();
            String machine = "m-" + change.machine();
            if (change.load() == null) {
                machines.remove(machine);
                tracker.retain(now, machines.keySet());
            } else {
                machines.put(machine, change.load());
                tracker.update(now, machine, change.load());
            }
            assertEquals(expectedBefore, totals(before), "a snapshot changed");
            before = tracker.snapshot(now, Demand.NONE);
            expectedBefore = totalsFromScratch(machines);
            assertEquals(expectedBefore, totals(before));
            for (MachineGroup group : before.groups().keySet()) {
                double utilization = before.utilization(group);
                assertTrue(utilization >= 0 && Double.isFinite(utilization), group + " " + utilization);
            }
        }
    }

    private static Map<MachineGroup, GroupTotals> totals(LoadSnapshot snapshot) {
        Map<MachineGroup, GroupTotals> totals = new HashMap<>();
        snapshot.groups().forEach((group, load) -> totals.put(group, load.totals()));
        return totals;
    }

    private static Map<MachineGroup, GroupTotals> totalsFromScratch(Map<String, MachineLoad> machines) {
        Map<MachineGroup, List<MachineLoad>> byGroup = new HashMap<>();
        machines.values().forEach(load -> byGroup.computeIfAbsent(load.group(), group -> new ArrayList<>())
                .add(load));
        Map<MachineGroup, GroupTotals> totals = new HashMap<>();
        byGroup.forEach((group, loads) -> totals.put(group, GroupTotals.of(loads)));
        return totals;
    }

    /** A requested move; leadership may change before it, and its transaction may fail. */
    record MoveRequest(
            int task, boolean red, boolean toLarge, int paybackMs, int afterMs, boolean newLeader, boolean fails) {}

    @Provide
    Arbitrary<List<MoveRequest>> requests() {
        return Combinators.combine(
                        Arbitraries.integers().between(0, 30),
                        Arbitraries.of(true, false),
                        Arbitraries.of(true, false),
                        Arbitraries.integers().between(0, (int) (WINDOW * 5 / 4)),
                        Arbitraries.integers().between(0, 600),
                        Arbitraries.integers().between(0, 40).map(n -> n == 0),
                        Arbitraries.integers().between(0, 6).map(n -> n == 0))
                .as(MoveRequest::new)
                .list()
                .ofMinSize(100)
                .ofMaxSize(400);
    }

    private record Applied(Move move, long at) {}

    /** All limits hold in every prefix of the requests, counting only applied moves, over all leaders together. */
    @Property(tries = 200, seed = SEED)
    void limitsHoldInEveryPrefix(@ForAll("requests") List<MoveRequest> requests) {
        int placed = 400;
        double share = 0.02;
        int concurrentLimit = 8;
        LoadSnapshot load = oneGroup();
        MoveBudget budget = new MoveBudget(share, LEASE);
        budget.startTerm(0);
        long now = WINDOW;
        List<Applied> applied = new ArrayList<>();
        Set<Move> notApplied = new HashSet<>();
        for (MoveRequest request : requests) {
            now += request.afterMs();
            budget.reconcile(notApplied::contains);
            notApplied.clear();
            if (request.newLeader()) {
                budget = new MoveBudget(share, LEASE);
                budget.startTerm(now);
            }
            long time = now;
            int stopping =
                    (int) applied.stream().filter(a -> time - a.at() < 3000).count();
            budget.startPass(now, placed, stopping);
            Move move = move(request, applied.size());
            if (!budget.allows(now, List.of(move), load)) {
                continue;
            }
            budget.add(now, move);
            assertTrue(stopping < concurrentLimit, "at a time");
            if (request.fails()) {
                notApplied.add(move);
            } else {
                applied.add(new Applied(move, now));
                assertLimits(applied, now, concurrentLimit);
            }
        }
    }

    private static void assertLimits(List<Applied> applied, long now, int concurrentLimit) {
        List<Applied> window =
                applied.stream().filter(a -> now - a.at() < WINDOW).toList();
        assertTrue(window.size() <= 4 * concurrentLimit, "in a window");
        for (String team : List.of("red", "blue")) {
            assertTrue(
                    window.stream().filter(a -> a.move().team().equals(team)).count() <= 2 * concurrentLimit,
                    "of " + team);
        }
        Applied last = applied.get(applied.size() - 1);
        assertTrue(last.move().paybackMs() <= WINDOW, "payback time too long");
        for (Applied earlier : applied.subList(0, applied.size() - 1)) {
            assertTrue(
                    !earlier.move().task().equals(last.move().task())
                            || now - earlier.at() >= earlier.move().paybackMs(),
                    "moved again before the last move paid back");
        }
    }

    private static Move move(MoveRequest request, int attempt) {
        MachineGroup from = new MachineGroup("a", request.toLarge() ? "small" : "large");
        MachineGroup to = new MachineGroup("a", request.toLarge() ? "large" : "small");
        return new Move(
                new TaskId("wk-1", request.task()),
                attempt,
                request.red() ? "red" : "blue",
                1,
                "m-1",
                from,
                to,
                "wk-2",
                100,
                10,
                request.paybackMs());
    }

    private static LoadSnapshot oneGroup() {
        LoadTracker tracker = new LoadTracker(1000);
        for (String type : List.of("small", "large")) {
            tracker.update(
                    0, "m-" + type, new MachineLoad(new MachineGroup("a", type), null, true, 1_000_000, Map.of()));
        }
        return tracker.snapshot(0, Demand.NONE);
    }

    /** Equal bids are ordered by groups in turn: no group is ahead of another that has bids left by more than one bid. */
    @Property(tries = 200, seed = SEED)
    void equalBidsAreSpreadEvenly(@ForAll("bids") List<Integer> groups) {
        LoadTracker tracker = new LoadTracker(1000);
        for (int i = 0; i < 3; i++) {
            tracker.update(0, "m-" + i, new MachineLoad(group(i), null, true, 100_000, Map.of()));
        }
        List<Integer> ordered = new SpreadOrder(tracker.snapshot(0, Demand.NONE))
                .spread(groups, bid -> 0, BalancePropertiesTest::group, bid -> 1);
        assertEquals(
                groups.stream().sorted().toList(), ordered.stream().sorted().toList());
        Map<Integer, Integer> left = new HashMap<>();
        groups.forEach(group -> left.merge(group, 1, Integer::sum));
        Map<Integer, Integer> taken = new HashMap<>();
        for (int group : ordered) {
            for (int other : left.keySet()) {
                boolean hasMore = left.get(other) > taken.getOrDefault(other, 0);
                assertTrue(!hasMore || taken.getOrDefault(group, 0) <= taken.getOrDefault(other, 0) + 1);
            }
            taken.merge(group, 1, Integer::sum);
        }
    }

    @Provide
    Arbitrary<List<Integer>> bids() {
        return Arbitraries.integers().between(0, 2).list().ofMaxSize(40);
    }

    private static MachineGroup group(int index) {
        return new MachineGroup("z" + index, "t");
    }
}

package garnetscale.core.balance;

import com.sun.management.ThreadMXBean;
import garnetscale.core.job.JobSpec;
import garnetscale.core.job.Priority;
import garnetscale.core.job.TaskId;
import garnetscale.core.job.TestJob;
import garnetscale.core.machine.FreeCapacity;
import garnetscale.core.machine.MachineType;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Measures the time and the allocation of load snapshots and of a plan, by the size of the cluster: {@code mvn test
 * -Dtest=BalanceCostMeasurement}. Persistent maps are compared with maps that are copied for each snapshot. Not part of a build.
 */
class BalanceCostMeasurement {

    private static final List<Integer> SIZES = List.of(200, 1600, 4000);
    private static final int ROUNDS = 200;
    /** Percentage of the machines that change between two snapshots. */
    private static final int CHANGED_PERCENT = 10;

    private final ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    private Object sink;

    @Test
    void snapshotAndPlan() {
        for (int pass = 0; pass < 2; pass++) {
            for (int size : SIZES) {
                persistent(size, pass == 1);
                copied(size, pass == 1);
                plan(size, pass == 1);
            }
        }
    }

    private void measure(String name, int size, int rounds, boolean isReported, Runnable round) {
        long bytes = threads.getCurrentThreadAllocatedBytes();
        long startNs = System.nanoTime();
        for (int i = 0; i < rounds; i++) {
            round.run();
        }
        if (isReported) {
            System.out.printf(
                    Locale.ROOT,
                    "%-12s %5d machines: %8.3f ms, %8.1f KB each%n",
                    name,
                    size,
                    (System.nanoTime() - startNs) / 1e6 / rounds,
                    (threads.getCurrentThreadAllocatedBytes() - bytes) / 1024.0 / rounds);
        }
    }

    private static MachineLoad load(int machine, int round) {
        String zone = machine % 2 == 0 ? "a" : "b";
        String type = machine % 4 < 2 ? "small" : "large";
        long used = 1000L * ((machine + round) % 8);
        return new MachineLoad(new MachineGroup(zone, type), null, true, 8000, Map.of("red", used));
    }

    private void persistent(int size, boolean isReported) {
        LoadTracker tracker = new LoadTracker(5000);
        for (int i = 0; i < size; i++) {
            tracker.update(0, "m-" + i, load(i, 0));
        }
        int[] round = new int[1];
        measure("persistent", size, ROUNDS, isReported, () -> {
            round[0]++;
            for (int i = 0; i < size; i += 100 / CHANGED_PERCENT) {
                tracker.update(round[0], "m-" + i, load(i, round[0]));
            }
            sink = tracker.snapshot(round[0], Demand.NONE);
        });
    }

    private void copied(int size, boolean isReported) {
        Map<String, MachineLoad> machines = new HashMap<>();
        Map<MachineGroup, GroupTotals> groups = new HashMap<>();
        for (int i = 0; i < size; i++) {
            MachineLoad load = load(i, 0);
            machines.put("m-" + i, load);
            groups.put(
                    load.group(),
                    groups.getOrDefault(load.group(), GroupTotals.EMPTY).plus(load));
        }
        int[] round = new int[1];
        measure("copied", size, ROUNDS, isReported, () -> {
            round[0]++;
            for (int i = 0; i < size; i += 100 / CHANGED_PERCENT) {
                MachineLoad load = load(i, round[0]);
                MachineLoad before = machines.put("m-" + i, load);
                groups.put(load.group(), groups.get(load.group()).minus(before).plus(load));
            }
            sink = List.of(Map.copyOf(machines), Map.copyOf(groups));
        });
    }

    /** Half of the machines are large and run tasks that could move, the others have free capacity; one job waits. */
    private void plan(int size, boolean isReported) {
        MachineType small = new MachineType("small", 8, 0, 64, 20, 1, 1, 0.5, 20, List.of("a"));
        MachineType large = new MachineType("large", 16, 0, 64, 20, 1, 1, 0.5, 20, List.of("a"));
        JobSpec flexible = TestJob.named("wk-flexible").cpus(4).tasks(2 * size).build();
        JobSpec bound = TestJob.named("wk-bound")
                .priority(Priority.HIGH)
                .cpus(12)
                .tasks(100)
                .build();
        measure("plan", size, 20, isReported, () -> {
            LoadTracker tracker = new LoadTracker(5000);
            List<SourceMachine> machines = new ArrayList<>();
            List<DestinationBid> offers = new ArrayList<>();
            for (int i = 0; i < size; i++) {
                boolean isLarge = i % 2 == 0;
                MachineGroup group = new MachineGroup("a", isLarge ? "large" : "small");
                String id = "m-" + i;
                tracker.update(0, id, new MachineLoad(group, null, true, isLarge ? 16_000 : 8000, Map.of()));
                FreeCapacity free = new FreeCapacity(isLarge ? large : small);
                List<RunningTask> tasks = new ArrayList<>();
                for (int k = 0; isLarge && k < 4; k++) {
                    free.take(flexible);
                    tasks.add(new RunningTask(
                            new TaskId("wk-flexible", 4 * i + k), 4L * i + k, flexible, 100, 0, 1, true));
                }
                machines.add(new SourceMachine(id, group, isLarge ? large : small, false, false, free, tasks));
                if (!isLarge) {
                    offers.add(new DestinationBid(id, group, small, false, false, 2, 110));
                }
            }
            MoveBudget budget = new MoveBudget(BalanceSettings.MOVING, 10_000);
            budget.startTerm(0);
            budget.startPass(100_000, 2 * size, 0);
            sink = MovePlanner.plan(
                    BalanceSettings.MARGIN,
                    new MovePlanner.Input(
                            100_000,
                            tracker.snapshot(100_000, Demand.NONE),
                            List.of(new WaitingJob(bound, 100, 30)),
                            machines,
                            Map.of("wk-flexible", offers)),
                    budget);
        });
    }
}

package garnetscale.core.sim;

import garnetscale.core.balance.BalanceSettings;
import garnetscale.core.job.Priority;
import garnetscale.core.job.TaskId;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * Measures load balancing on and off in simulated time, with the same seeds: {@code mvn test -Dtest=BalanceMeasurement}. The load
 * of both teams peaks together, four times in a run; in the runs with failures, a controller crashes in each peak. The name of
 * this class keeps it out of default builds.
 */
class BalanceMeasurement {

    private static final int SEEDS = Integer.getInteger("seeds", 5);
    private static final int PEAKS = 4;
    private static final long PEAK_INTERVAL_MS = 150_000;
    private static final long FIRST_PEAK_MS = 50_000;
    private static final long END_MS = FIRST_PEAK_MS + PEAKS * PEAK_INTERVAL_MS;
    private static final int SAMPLE_MS = 500;
    /** Mean utilization below which a sample is ignored, because the ratio of peak to mean says little there. */
    private static final double MIN_MEAN_UTILIZATION = 0.1;

    private final Map<String, Double> figures = new TreeMap<>();

    @Test
    void balancingOffAndOn() {
        for (boolean failures : List.of(false, true)) {
            Map<String, double[]> off = measureAll(false, failures);
            Map<String, double[]> on = measureAll(true, failures);
            System.out.println("failures " + failures);
            on.forEach((name, values) -> System.out.printf(
                    Locale.ROOT, "  %-28s off %s  on %s%n", name, summarize(off.get(name)), summarize(values)));
        }
    }

    /** Formats the minimum, the median and the maximum of the values, and the value for each seed. */
    private static String summarize(double[] values) {
        double[] sorted = values.clone();
        Arrays.sort(sorted);
        return String.format(
                Locale.ROOT,
                "%.2f %.2f %.2f by seed %s",
                sorted[0],
                sorted[sorted.length / 2],
                sorted[sorted.length - 1],
                Arrays.toString(Arrays.stream(values)
                        .map(v -> Math.round(v * 100) / 100.0)
                        .toArray()));
    }

    private Map<String, double[]> measureAll(boolean balanced, boolean failures) {
        Map<String, double[]> all = new TreeMap<>();
        for (int seed = 1; seed <= SEEDS; seed++) {
            figures.clear();
            measure(seed, balanced, failures);
            int index = seed - 1;
            figures.forEach((name, value) -> all.computeIfAbsent(name, n -> new double[SEEDS])[index] = value);
        }
        return all;
    }

    private void measure(int seed, boolean balanced, boolean failures) {
        ClusterShape shape =
                balanced ? BalanceSimulationTest.SHAPE : BalanceSimulationTest.SHAPE.withBalance(BalanceSettings.OFF);
        BalanceSimulationTest.Scenario scenario = BalanceSimulationTest.create(seed, shape);
        SimulatedCluster cluster = scenario.cluster();
        Map<String, Long> submitted = new HashMap<>();
        Map<String, Long> ended = new HashMap<>();
        List<Double> boundWaits = new ArrayList<>();
        List<Double> flexibleWaits = new ArrayList<>();
        Set<TaskId> started = new HashSet<>();
        var previousListener = cluster.rules.onStarted;
        cluster.rules.onStarted = (machine, task) -> {
            previousListener.accept(machine, task);
            if (!started.add(task)) {
                return;
            }
            double wait = (cluster.now - submitted.get(task.job())) / 1000.0;
            (task.job().contains("bound") ? boundWaits : flexibleWaits).add(wait);
        };
        cluster.rules.onCompleted = task -> ended.put(task.job(), cluster.now);
        for (int index = 0; index < PEAKS; index++) {
            submitPeak(cluster, submitted, index, failures);
        }
        List<Double> ratios = new ArrayList<>();
        for (long t = SAMPLE_MS; t < END_MS; t += SAMPLE_MS) {
            cluster.run(t);
            sample(cluster, ratios);
        }
        figures.put("bound wait 90% s", quantile(boundWaits, 0.9));
        figures.put("bound wait max s", quantile(boundWaits, 1));
        figures.put("flexible first start 90% s", quantile(flexibleWaits, 0.9));
        figures.put("bound job ended after s", meanDurationS("wk-bound", submitted, ended));
        figures.put("flexible job ended after s", meanDurationS("wk-flex", submitted, ended));
        figures.put(
                "peak to mean", ratios.stream().mapToDouble(r -> r).average().orElse(0));
        figures.put("moves", (double) scenario.history().moves.size());
        figures.put("needless moves", (double) scenario.history().countNeedless());
        figures.put("work lost to moves CPU-s", scenario.history().lostCpuS());
        figures.put("rule violations", (double) cluster.rules.violations.size());
        figures.put(
                "jobs not completed",
                (double) submitted.size()
                        - submitted.keySet().stream()
                                .filter(cluster.rules::isComplete)
                                .count());
    }

    private static void submitPeak(SimulatedCluster cluster, Map<String, Long> submitted, int index, boolean failures) {
        long at = FIRST_PEAK_MS + index * PEAK_INTERVAL_MS;
        cluster.at(at, () -> {
            submitted.put("wk-flex" + index, cluster.now);
            cluster.users.submit("wk-flex" + index, "blue", 36 + cluster.random.nextInt(9), 4, 120);
        });
        cluster.at(at + 8000 + cluster.random.nextInt(8000), () -> {
            submitted.put("wk-bound" + index, cluster.now);
            cluster.users.submit(
                    "wk-bound" + index, "red", Priority.HIGH, 9 + cluster.random.nextInt(4), 12, 30, false);
        });
        if (failures) {
            cluster.at(
                    at + 14_000 + cluster.random.nextInt(8000),
                    () -> cluster.crash(
                            index % 2 == 0 ? cluster.leader() : cluster.ownerOf(cluster.workers.get(0).id), 4000));
        }
    }

    private static void sample(SimulatedCluster cluster, List<Double> ratios) {
        Map<String, Double> used = new HashMap<>();
        Map<String, Double> capacity = new HashMap<>();
        for (SimulatedWorker worker : cluster.workers) {
            capacity.merge(
                    group(cluster, worker.id),
                    cluster.shape.type(number(worker)).cpus(),
                    Double::sum);
        }
        for (Map.Entry<TaskId, String> running : cluster.rules.running().entrySet()) {
            double cpus = cluster.rules.jobs.get(running.getKey().job()).cpus();
            used.merge(group(cluster, running.getValue()), cpus, Double::sum);
        }
        double mean = used.values().stream().mapToDouble(u -> u).sum()
                / capacity.values().stream().mapToDouble(c -> c).sum();
        if (mean >= MIN_MEAN_UTILIZATION) {
            double peak = capacity.keySet().stream()
                    .mapToDouble(group -> used.getOrDefault(group, 0.0) / capacity.get(group))
                    .max()
                    .orElse(0);
            ratios.add(peak / mean);
        }
    }

    private static int number(SimulatedWorker worker) {
        return Integer.parseInt(worker.id.substring("m-".length()));
    }

    /** Returns the machine group of a machine, which is its zone and type. */
    private static String group(SimulatedCluster cluster, String machine) {
        return cluster.zoneOf(machine) + "/" + cluster.typeOf(machine);
    }

    private static double meanDurationS(String prefix, Map<String, Long> submitted, Map<String, Long> ended) {
        return submitted.keySet().stream()
                .filter(job -> job.startsWith(prefix) && ended.containsKey(job))
                .mapToDouble(job -> (ended.get(job) - submitted.get(job)) / 1000.0)
                .average()
                .orElse(0);
    }

    private static double quantile(List<Double> values, double share) {
        double[] sorted = values.stream().mapToDouble(v -> v).sorted().toArray();
        return sorted.length == 0 ? 0 : sorted[(int) Math.min(sorted.length - 1, share * sorted.length)];
    }
}

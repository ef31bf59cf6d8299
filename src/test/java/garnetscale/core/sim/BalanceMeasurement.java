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
 * Measures load balancing on and off, with the same seeds: {@code mvn test -Dtest=BalanceMeasurement}. Four times two teams swell
 * at once; with failures, a controller ends in each swell. Not part of a build. All in simulated time.
 */
class BalanceMeasurement {

    private static final int SEEDS = Integer.getInteger("seeds", 5);
    private static final int SWELLS = 4;
    private static final long APART = 150_000;
    private static final long FIRST = 50_000;
    private static final long END = FIRST + SWELLS * APART;
    private static final int SAMPLE_MS = 500;
    /** Utilization below this isn't worth comparing. */
    private static final double LEAST_MEAN = 0.1;

    private final Map<String, Double> figures = new TreeMap<>();

    @Test
    void withAndWithout() {
        for (boolean failures : List.of(false, true)) {
            Map<String, double[]> off = all(false, failures);
            Map<String, double[]> on = all(true, failures);
            System.out.println("failures " + failures);
            on.forEach((name, values) ->
                    System.out.printf(Locale.ROOT, "  %-28s off %s  on %s%n", name, show(off.get(name)), show(values)));
        }
    }

    private static String show(double[] values) {
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

    private Map<String, double[]> all(boolean balanced, boolean failures) {
        Map<String, double[]> all = new TreeMap<>();
        for (int seed = 1; seed <= SEEDS; seed++) {
            figures.clear();
            play(seed, balanced, failures);
            int place = seed - 1;
            figures.forEach((name, value) -> all.computeIfAbsent(name, n -> new double[SEEDS])[place] = value);
        }
        return all;
    }

    private void play(int seed, boolean balanced, boolean failures) {
        ClusterShape shape =
                balanced ? BalanceSimulationTest.SHAPE : BalanceSimulationTest.SHAPE.withBalance(BalanceSettings.OFF);
        BalanceSimulationTest.Day day = BalanceSimulationTest.day(seed, shape);
        SimulatedCluster cluster = day.cluster();
        Map<String, Long> submitted = new HashMap<>();
        Map<String, Long> ended = new HashMap<>();
        List<Double> boundWaits = new ArrayList<>();
        List<Double> flexibleWaits = new ArrayList<>();
        Set<TaskId> started = new HashSet<>();
        var began = cluster.rules.onBegan;
        cluster.rules.onBegan = (machine, task) -> {
            began.accept(machine, task);
            if (!started.add(task)) {
                return;
            }
            double wait = (cluster.now - submitted.get(task.job())) / 1000.0;
            (task.job().contains("bound") ? boundWaits : flexibleWaits).add(wait);
        };
        cluster.rules.onDone = task -> ended.put(task.job(), cluster.now);
        for (int index = 0; index < SWELLS; index++) {
            swell(cluster, submitted, index, failures);
        }
        List<Double> ratios = new ArrayList<>();
        for (long t = SAMPLE_MS; t < END; t += SAMPLE_MS) {
            cluster.run(t);
            sample(cluster, ratios);
        }
        figures.put("bound wait 90% s", percentile(boundWaits, 0.9));
        figures.put("bound wait most s", percentile(boundWaits, 1));
        figures.put("flexible first start 90% s", percentile(flexibleWaits, 0.9));
        figures.put("bound job ended after s", meanLasting("wk-bound", submitted, ended));
        figures.put("flexible job ended after s", meanLasting("wk-flex", submitted, ended));
        figures.put(
                "peak to mean", ratios.stream().mapToDouble(r -> r).average().orElse(0));
        figures.put("moves", (double) day.history().moves.size());
        figures.put("needless moves", (double) day.history().needless());
        figures.put("work lost to moves CPU-s", day.history().lostCpuS());
        figures.put("rules broken", (double) cluster.rules.violations.size());
        figures.put(
                "jobs not over",
                (double) submitted.size()
                        - submitted.keySet().stream()
                                .filter(cluster.rules::isComplete)
                                .count());
    }

    private static void swell(SimulatedCluster cluster, Map<String, Long> submitted, int index, boolean failures) {
        long at = FIRST + index * APART;
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
        if (mean >= LEAST_MEAN) {
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

    private static String group(SimulatedCluster cluster, String machine) {
        return cluster.zoneOf(machine) + "/" + cluster.typeOf(machine);
    }

    private static double meanLasting(String prefix, Map<String, Long> submitted, Map<String, Long> ended) {
        return submitted.keySet().stream()
                .filter(job -> job.startsWith(prefix) && ended.containsKey(job))
                .mapToDouble(job -> (ended.get(job) - submitted.get(job)) / 1000.0)
                .average()
                .orElse(0);
    }

    private static double percentile(List<Double> values, double share) {
        double[] sorted = values.stream().mapToDouble(v -> v).sorted().toArray();
        return sorted.length == 0 ? 0 : sorted[(int) Math.min(sorted.length - 1, share * sorted.length)];
    }
}

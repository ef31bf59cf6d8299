package garnetscale.core.balance;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;
import java.util.function.ToLongFunction;

/**
 * Orders equal bids so that the least utilized group comes first. The CPUs of a bid count as used for the bids after it, so that
 * the tasks of one job are spread over groups instead of all going to the group that was the least utilized at first.
 */
public final class SpreadOrder {

    private final LoadSnapshot load;
    private final Map<MachineGroup, Double> addedCpus = new LinkedHashMap<>();

    /** Creates an order that starts from the utilization in {@code load}, before any of the bids wins. */
    public SpreadOrder(LoadSnapshot load) {
        this.load = load;
    }

    /**
     * Returns the bids with each run of bids of the same rank reordered. The order of runs, and of bids of one group within a
     * run, is preserved.
     *
     * @param rank returns the rank of a bid, the same for bids that count as equal; must not decrease along the list
     * @param group returns the group of a bid's machine
     * @param cpus returns the CPUs that are used if a bid wins all of its slots
     */
    public <T> List<T> spread(
            List<T> bids, ToLongFunction<T> rank, Function<T, MachineGroup> group, ToDoubleFunction<T> cpus) {
        List<T> ordered = new ArrayList<>(bids.size());
        int from = 0;
        while (from < bids.size()) {
            int to = from + 1;
            while (to < bids.size() && rank.applyAsLong(bids.get(to)) == rank.applyAsLong(bids.get(from))) {
                to++;
            }
            interleave(bids.subList(from, to), group, cpus, ordered);
            from = to;
        }
        return ordered;
    }

    private <T> void interleave(
            List<T> equal, Function<T, MachineGroup> group, ToDoubleFunction<T> cpus, List<T> ordered) {
        Map<MachineGroup, Deque<T>> queues = new LinkedHashMap<>();
        equal.forEach(bid -> queues.computeIfAbsent(group.apply(bid), key -> new ArrayDeque<>())
                .add(bid));
        while (!queues.isEmpty()) {
            MachineGroup least = leastUtilized(queues);
            Deque<T> queue = queues.get(least);
            T bid = queue.removeFirst();
            addedCpus.merge(least, cpus.applyAsDouble(bid), Double::sum);
            ordered.add(bid);
            if (queue.isEmpty()) {
                queues.remove(least);
            }
        }
    }

    private MachineGroup leastUtilized(Map<MachineGroup, ?> queues) {
        MachineGroup least = null;
        for (MachineGroup group : queues.keySet()) {
            if (least == null || projectedUtilization(group) < projectedUtilization(least)) {
                least = group;
            }
        }
        return least;
    }

    private double projectedUtilization(MachineGroup group) {
        double capacity = load.capacityCpus(group);
        double added = addedCpus.getOrDefault(group, 0.0);
        return capacity <= 0 ? 1 : load.utilization(group) + added / capacity;
    }
}

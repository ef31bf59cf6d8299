package garnetscale.controller;

import garnetscale.core.balance.GroupTotals;
import garnetscale.core.balance.LoadSnapshot;
import garnetscale.core.balance.MachineGroup;
import garnetscale.core.balance.MachineLoad;
import garnetscale.core.balance.Move;
import garnetscale.core.balance.UnknownReason;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/** Shows operators the load of the fleet, and which tasks were moved. All of one answer comes from one snapshot. */
final class LoadView {

    private static final double PERCENT = 100;

    private LoadView() {}

    /** The load by group and by team; {@code now} in milliseconds of the clock that the snapshot was made by. */
    static Map<String, Object> load(LoadSnapshot load, long now) {
        Map<String, Object> tree = new LinkedHashMap<>();
        tree.put("age_ms", now - load.at());
        tree.put("peak_to_mean", rounded(load.peakToMean()));
        tree.put(
                "groups",
                load.groups().keySet().stream()
                        .sorted(Comparator.comparing(MachineGroup::toString))
                        .map(group -> group(load, group))
                        .toList());
        tree.put(
                "demand",
                load.demand().byTeam().entrySet().stream()
                        .sorted(Map.Entry.comparingByKey())
                        .map(entry -> {
                            Map<String, Object> row = new LinkedHashMap<>();
                            row.put("team", entry.getKey());
                            row.put("waiting_cpu_s", Math.round(entry.getValue().waitingCpuS()));
                            row.put("placed_cpu_s", Math.round(entry.getValue().placedCpuS()));
                            return row;
                        })
                        .toList());
        return tree;
    }

    private static Map<String, Object> group(LoadSnapshot load, MachineGroup group) {
        GroupTotals totals = load.groups().get(group).totals();
        Map<String, Object> row = new LinkedHashMap<>();
        row.put("group", group.toString());
        row.put("machines", totals.machines());
        row.put("serving", totals.serving());
        row.put("known", load.isKnown(group));
        row.put("unknown", counts(totals.unknown()));
        row.put("cpus", MachineLoad.cpus(totals.capacity()));
        row.put("used", MachineLoad.cpus(totals.used()));
        row.put("utilization", rounded(load.utilization(group)));
        row.put("waiting_cpu_s", Math.round(load.demand().waitingByGroup().getOrDefault(group, 0.0)));
        row.put("teams", teams(totals));
        return row;
    }

    private static String counts(Map<UnknownReason, Integer> counts) {
        return counts.isEmpty()
                ? "none"
                : counts.entrySet().stream()
                        .map(entry -> entry.getValue() + " " + reason(entry.getKey()))
                        .sorted()
                        .collect(Collectors.joining(", "));
    }

    /** The operators' word, which is older than the constant's name. */
    private static String reason(UnknownReason reason) {
        return switch (reason) {
            case PARTITION_REASSIGNED -> "BLOCK_REASSIGNED";
            case OWNER_UNHEARD -> "HOLDER_UNHEARD";
            case OWNER_NOT_BIDDING -> "HOLDER_NOT_BIDDING";
            case MACHINE_SILENT -> "MACHINE_SILENT";
        };
    }

    private static String teams(GroupTotals totals) {
        return totals.usedBy().isEmpty()
                ? "none"
                : totals.usedBy().entrySet().stream()
                        .map(entry -> entry.getKey() + " " + MachineLoad.cpus(entry.getValue()))
                        .sorted()
                        .collect(Collectors.joining(", "));
    }

    /** The moves of a job's tasks. */
    static List<Map<String, Object>> moves(List<Move> moves, String job) {
        return moves.stream()
                .filter(move -> move.task().job().equals(job))
                .map(LoadView::move)
                .toList();
    }

    private static Map<String, Object> move(Move move) {
        Map<String, Object> row = new LinkedHashMap<>();
        row.put("task", move.task().index());
        row.put("from", move.machine() + " (" + move.from() + ")");
        row.put("to", move.to().toString());
        row.put("for", move.beneficiary() == null ? "itself" : move.beneficiary());
        row.put("gain_cpu_s", Math.round(move.gainCpuS()));
        row.put("disruption_cpu_s", Math.round(move.disruptionCpuS()));
        return row;
    }

    private static double rounded(double value) {
        return Math.round(value * PERCENT) / PERCENT;
    }
}

package garnetscale.controller;

import garnetscale.core.balance.GroupTotals;
import garnetscale.core.balance.LoadSnapshot;
import garnetscale.core.balance.MachineGroup;
import garnetscale.core.balance.MachineLoad;
import garnetscale.core.balance.UnknownReason;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * The load of all machines as operators see it, from one consistent snapshot.
 *
 * @param ageMs      age of the snapshot in milliseconds
 * @param peakToMean the largest utilization of a group divided by the mean of all groups, rounded to hundredths
 * @param groups     load of each machine group, sorted by name
 * @param demand     demand of each team, sorted by team
 */
record LoadView(long ageMs, double peakToMean, List<Group> groups, List<TeamDemand> demand) {

    private static final double PERCENT = 100;
    private static final String NONE = "none";

    /**
     * The machines of one type in one zone.
     *
     * @param serving      number of machines that take work
     * @param known        whether the group's load is known well enough to move work into or out of it
     * @param unknown      number of machines whose load isn't known, by reason, or {@code none}
     * @param cpus         CPUs of the serving machines
     * @param used         how many of those CPUs are in use
     * @param utilization  smoothed, from 0 to 1, rounded to hundredths
     * @param waitingCpuS  work that waits for this group, in CPU-seconds
     * @param teams        CPUs in use by team, or {@code none}
     */
    record Group(
            String name,
            int machines,
            int serving,
            boolean known,
            String unknown,
            double cpus,
            double used,
            double utilization,
            long waitingCpuS,
            String teams) {}

    /** The demand of a team's jobs, waiting and placed, in whole CPU-seconds. */
    record TeamDemand(String team, long waitingCpuS, long placedCpuS) {}

    /** Returns the load by group and by team; {@code now} is in milliseconds of the snapshot's clock. */
    static LoadView of(LoadSnapshot load, long now) {
        return new LoadView(
                now - load.at(),
                rounded(load.peakToMean()),
                load.groups().keySet().stream()
                        .sorted((left, right) -> left.toString().compareTo(right.toString()))
                        .map(group -> group(load, group))
                        .toList(),
                load.demand().byTeam().entrySet().stream()
                        .sorted(Map.Entry.comparingByKey())
                        .map(entry -> new TeamDemand(
                                entry.getKey(),
                                Math.round(entry.getValue().waitingCpuS()),
                                Math.round(entry.getValue().placedCpuS())))
                        .toList());
    }

    private static Group group(LoadSnapshot load, MachineGroup group) {
        GroupTotals totals = load.groups().get(group).totals();
        return new Group(
                group.toString(),
                totals.machines(),
                totals.serving(),
                load.isKnown(group),
                unknown(totals),
                MachineLoad.cpus(totals.capacity()),
                MachineLoad.cpus(totals.used()),
                rounded(load.utilization(group)),
                Math.round(load.demand().waitingByGroup().getOrDefault(group, 0.0)),
                teams(totals));
    }

    private static String unknown(GroupTotals totals) {
        return totals.unknown().isEmpty()
                ? NONE
                : totals.unknown().entrySet().stream()
                        .map(entry -> entry.getValue() + " " + outerName(entry.getKey()))
                        .sorted()
                        .collect(Collectors.joining(", "));
    }

    /** Returns the name of a reason in {@code status}, as docs/operations.md lists it; operators' scripts match these names. */
    private static String outerName(UnknownReason reason) {
        return switch (reason) {
            case PARTITION_REASSIGNED -> "BLOCK_REASSIGNED";
            case OWNER_SILENT -> "HOLDER_UNHEARD";
            case OWNER_NOT_BIDDING -> "HOLDER_NOT_BIDDING";
            case MACHINE_SILENT -> "MACHINE_SILENT";
        };
    }

    private static String teams(GroupTotals totals) {
        return totals.usedBy().isEmpty()
                ? NONE
                : totals.usedBy().entrySet().stream()
                        .map(entry -> entry.getKey() + " " + MachineLoad.cpus(entry.getValue()))
                        .sorted()
                        .collect(Collectors.joining(", "));
    }

    private static double rounded(double value) {
        return Math.round(value * PERCENT) / PERCENT;
    }
}

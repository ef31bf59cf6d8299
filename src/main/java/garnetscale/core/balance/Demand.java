package garnetscale.core.balance;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The work that jobs demand of the cluster at one point in time.
 *
 * @param byTeam the work of each team's jobs
 * @param waitingByGroup waiting CPU-seconds by group; those of a job are split over the groups that it may run on, in
 *     proportion to the groups' serving capacity
 */
public record Demand(PMap<String, TeamDemand> byTeam, PMap<MachineGroup, Double> waitingByGroup) {

    /** No work. */
    public static final Demand NONE = new Demand(HashTreePMap.empty(), HashTreePMap.empty());

    /** Returns this demand plus the CPU-seconds of one job. */
    public Demand plus(String team, double waitingCpuS, double placedCpuS) {
        TeamDemand before = byTeam.getOrDefault(team, TeamDemand.NONE);
        return new Demand(byTeam.plus(team, before.plus(waitingCpuS, placedCpuS)), waitingByGroup);
    }

    /** Returns this demand plus waiting CPU-seconds of a group. */
    public Demand plusWaiting(MachineGroup group, double cpuS) {
        return new Demand(byTeam, waitingByGroup.plus(group, waitingByGroup.getOrDefault(group, 0.0) + cpuS));
    }
}

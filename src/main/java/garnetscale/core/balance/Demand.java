package garnetscale.core.balance;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * What is asked of the fleet at a moment.
 *
 * @param byTeam         by team
 * @param waitingByGroup waiting CPU-seconds by group; a job's are split over the groups that it may run on, by their serving
 *     capacity
 */
public record Demand(PMap<String, TeamDemand> byTeam, PMap<MachineGroup, Double> waitingByGroup) {

    /** Nothing is asked for. */
    public static final Demand NONE = new Demand(HashTreePMap.empty(), HashTreePMap.empty());

    /** With one more job's demand, in CPU-seconds. */
    public Demand plus(String team, double waitingCpuS, double placedCpuS) {
        TeamDemand before = byTeam.getOrDefault(team, TeamDemand.NONE);
        return new Demand(byTeam.plus(team, before.plus(waitingCpuS, placedCpuS)), waitingByGroup);
    }

    /** With more waiting for a group. */
    public Demand plusWaiting(MachineGroup group, double cpuS) {
        return new Demand(byTeam, waitingByGroup.plus(group, waitingByGroup.getOrDefault(group, 0.0) + cpuS));
    }
}

package garnetscale.controller;

import garnetscale.core.cluster.ControllerInfo;
import garnetscale.core.cluster.LeaderInfo;
import java.util.List;

/**
 * The answer to {@code status}: the cluster as one controller sees it.
 *
 * @param controller   the name of the controller that answers
 * @param complete     whether its replica holds everything that is stored
 * @param unreadable   what is stored and can't be read by this version of the program, or null
 * @param leader       null when there is none
 * @param machinesWithRecords machines that the state service has a record of
 * @param load         null unless this controller leads and rebalancing is on
 */
record StatusView(
        String controller,
        boolean complete,
        String unreadable,
        ClusterInspector.ProcessView process,
        LeaderInfo leader,
        Version version,
        List<ControllerInfo> controllers,
        List<Partition> partitions,
        int machinesWithRecords,
        List<Team> teams,
        LoadView load) {

    /**
     * The versions of the stored layout.
     *
     * @param floor           the oldest one that may become active again
     * @param converted       whether everything stored is in the active one
     * @param supportedHere   those that this controller reads and writes
     */
    record Version(int active, int floor, boolean converted, String supportedHere) {}

    /** A partition with its owner; {@code owner} is null when it has none, and {@code term} 0. */
    record Partition(String name, String owner, long term) {}

    /**
     * What a team uses, with its quota.
     *
     * @param jobs    its live jobs
     * @param waiting tasks that aren't placed
     * @param placed  tasks that are placed
     * @param cpusMax positive infinity for no limit, as is {@code gpusMax}
     */
    record Team(
            String name,
            int jobs,
            int waiting,
            int placed,
            double cpus,
            double cpusGuaranteed,
            double cpusMax,
            double gpus,
            double gpusMax) {}
}

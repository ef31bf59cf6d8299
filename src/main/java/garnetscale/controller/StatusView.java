package garnetscale.controller;

import garnetscale.core.cluster.ControllerInfo;
import garnetscale.core.cluster.LeaderInfo;
import java.util.List;

/**
 * The answer to the operators' command {@code status}: the cluster as one controller sees it.
 *
 * @param controller   the name of the controller that answers
 * @param complete     whether its replica is loaded
 * @param unreadable   the stored record that this version of the program can't read, and why; null if it reads all
 * @param leader       the leader according to the replica, or null if there is none
 * @param machinesWithRecords number of machines that the state service has a record of
 * @param load         the load of all machines, or null unless this controller leads and rebalancing is on
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
     * @param active          the version that is active
     * @param floor           the oldest version that may become active again
     * @param converted       whether all stored records are in the active version
     * @param supportedHere   the versions that this controller reads and writes
     */
    record Version(int active, int floor, boolean converted, String supportedHere) {}

    /** A partition with its owner and the owner's term; without an owner, {@code owner} is null and {@code term} 0. */
    record Partition(String name, String owner, long term) {}

    /**
     * The usage and the quota of a team.
     *
     * @param jobs    number of live jobs
     * @param waiting number of unfinished tasks that aren't placed
     * @param placed  number of tasks that are placed
     * @param cpus    CPUs in use
     * @param cpusMax limit on CPUs; positive infinity for none
     * @param gpus    GPUs in use
     * @param gpusMax limit on GPUs; positive infinity for none
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

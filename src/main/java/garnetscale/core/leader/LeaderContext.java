package garnetscale.core.leader;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.bidding.Auction;
import garnetscale.core.bidding.Estimator;
import garnetscale.core.queue.JobOrder;
import garnetscale.core.state.FreeCapacityCache;
import garnetscale.core.state.StateReplica;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * What the leader's parts share.
 *
 * @param machines   what is known of each machine, by its id; {@link Leader} alone adds to it
 * @param auction    the bids that are open
 * @param estimator  how long tasks run, and how fast machines are
 * @param failures   which jobs and tasks fail by their own fault
 * @param order      in which jobs wait
 * @param capacities what stored placements leave free
 * @param awardTimes when this leader placed its attempts
 * @param log        takes one line for each event that operators may want to know of
 */
record LeaderContext(
        SchedulerConfig config,
        StateReplica replica,
        Map<String, MachineState> machines,
        Auction auction,
        Estimator estimator,
        FailureTracker failures,
        JobOrder order,
        FreeCapacityCache capacities,
        AwardTimes awardTimes,
        Consumer<String> log) {

    /** The parts of a new leader, which knows nothing yet. */
    static LeaderContext of(SchedulerConfig config, StateReplica replica, Consumer<String> log) {
        return new LeaderContext(
                config,
                replica,
                new LinkedHashMap<>(),
                new Auction(replica, config.bidWindowMs()),
                new Estimator(config.heartbeatIntervalMs()),
                new FailureTracker(),
                new JobOrder(config),
                new FreeCapacityCache(replica),
                new AwardTimes(config.heartbeatIntervalMs()),
                log);
    }
}

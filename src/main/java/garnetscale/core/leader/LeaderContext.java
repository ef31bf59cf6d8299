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
 * State and services shared by the parts of the leader.
 *
 * @param machines   state of each machine, by its name; only {@link Leader} adds to it
 * @param auction    open bids
 * @param estimator  estimates of how long tasks run and how fast machines are
 * @param failures   failures of jobs and tasks, and which of them are quarantined
 * @param order      order of the waiting jobs
 * @param capacities capacity that stored placements leave free
 * @param awardTimes times at which this leader placed its attempts
 * @param log        receives one line for each event of interest to operators
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

    /** Creates the context of a new leader, which knows nothing yet. */
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

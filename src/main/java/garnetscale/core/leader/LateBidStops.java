package garnetscale.core.leader;

import garnetscale.core.bidding.Auction;
import garnetscale.core.bidding.Bid;
import garnetscale.core.bidding.Estimator;
import garnetscale.core.bidding.LateBids;
import garnetscale.core.machine.Placement;
import garnetscale.core.state.JobView;
import garnetscale.core.state.StateReplica;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Stops tasks on decommissioned machines for which a late bid promises a much earlier finish. The stop must be confirmed before
 * the task starts again elsewhere.
 */
final class LateBidStops {

    private final StateReplica replica;
    private final Auction auction;
    private final Estimator estimator;
    private final Map<String, MachineState> machines;
    private final Consumer<String> log;

    LateBidStops(LeaderContext context) {
        this.replica = context.replica();
        this.auction = context.auction();
        this.estimator = context.estimator();
        this.machines = context.machines();
        this.log = context.log();
    }

    /** Adds due stops to the cycle's draft. */
    void plan(SchedulingCycle cycle) {
        for (MachineState machine : cycle.machines()) {
            if (machine.decommissioned && !machine.status.silent()) {
                replica.placements(machine.id).forEach(placement -> stopIfBetterBid(cycle, machine, placement));
            }
        }
    }

    private void stopIfBetterBid(SchedulingCycle cycle, MachineState machine, Placement placement) {
        Long since = machine.runningSince.get(placement.attempt());
        JobView job = replica.job(placement.task().job());
        if (since == null || job == null || !job.isLive() || placement.stop() != Placement.Stop.KEEP) {
            return;
        }
        double remainingS = estimator.remainingS(job.spec(), machine.id, cycle.secondsSince(since));
        Bid bid = auction.best(job.spec().id(), lateBid -> mayTake(cycle.now(), lateBid));
        if (bid != null
                && LateBids.accepts(remainingS, bid.finishS())
                && cycle.draft().hasRoomForChange()) {
            cycle.draft().stop(machine.id, placement, job.spec());
            log.accept("stopping task: a late bid is better, task=" + placement.task() + " machine=" + machine.id
                    + " bidder=" + bid.machine() + " improvement_percent="
                    + Math.round(100 * LateBids.improvement(remainingS, bid.finishS())));
        }
    }

    private boolean mayTake(long now, Bid bid) {
        MachineState bidder = machines.get(bid.machine());
        return bidder != null && !bidder.decommissioned && now >= bidder.cordonedUntil;
    }
}

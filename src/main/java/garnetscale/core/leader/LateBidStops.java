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

/** Stops tasks of machines to be given back for which a late bid is much better; the stop must be confirmed first. */
final class LateBidStops {

    private final StateReplica replica;
    private final Auction auction;
    private final Estimator estimator;
    private final Map<String, MachineState> machines;
    private final Consumer<String> log;

    LateBidStops(
            StateReplica replica,
            Auction auction,
            Estimator estimator,
            Map<String, MachineState> machines,
            Consumer<String> log) {
        this.replica = replica;
        this.auction = auction;
        this.estimator = estimator;
        this.machines = machines;
        this.log = log;
    }

    void plan(SchedulingCycle turn) {
        for (MachineState machine : turn.machines()) {
            if (machine.decommissioned && !machine.last.silent()) {
                replica.placements(machine.id).forEach(placement -> restart(turn, machine, placement));
            }
        }
    }

    private void restart(SchedulingCycle turn, MachineState machine, Placement placement) {
        Long since = machine.runningSince.get(placement.attempt());
        JobView job = replica.job(placement.task().job());
        if (since == null || job == null || !job.live() || placement.stop() != Placement.Stop.KEEP) {
            return;
        }
        double earlier = estimator.remainingS(job.spec(), machine.id, (turn.now() - since) / 1000.0);
        Bid bid = auction.best(job.spec().id(), late -> mayTake(turn.now(), late));
        if (bid != null
                && LateBids.accepts(earlier, bid.finishS())
                && turn.draft().hasRoom(false)) {
            turn.draft()
                    .stop(
                            machine.id,
                            placement,
                            job.spec().writesCheckpoints() ? Placement.Stop.CHECKPOINT : Placement.Stop.NOW);
            log.accept("task " + placement.task() + " is stopped on " + machine.id + ": a late bid of " + bid.machine()
                    + " is better by " + Math.round(100 * LateBids.improvement(earlier, bid.finishS())) + "%");
        }
    }

    private boolean mayTake(long now, Bid bid) {
        MachineState other = machines.get(bid.machine());
        return other != null && !other.decommissioned && now >= other.avoidUntil;
    }
}

package garnetscale.core.bidding;

import garnetscale.core.machine.FreeCapacity;
import garnetscale.core.machine.MachineType;
import garnetscale.core.state.JobView;
import java.util.Map;

/** A machine that may bid, with its state in the batch that {@link Bidding} makes. */
public final class Bidder {

    final String machine;
    final long agentEpoch;
    final MachineType type;
    final String zone;
    final boolean spot;
    /** Free capacity before the machine bids; not modified. */
    final FreeCapacity free;
    /** Free capacity that the machine's bids in this batch leave. */
    final FreeCapacity remaining;

    /** The bidders that have the same queue as this one. */
    BidderGroup group;
    /** Sizes of the images on the machine in GB, by image name. */
    Map<String, Double> images;
    /** Ratio of actual to expected run times on the machine; 1 unless the machine is clearly slow. */
    double machineFactor;
    /** Number of jobs that the machine has bid for in this batch. */
    int jobsBidFor;
    /** The last job that the machine has bid for in this batch, or null. */
    JobView lastJobBidFor;

    /** Creates a bidder with the given free capacity, which it keeps. */
    public Bidder(String machine, long agentEpoch, MachineType type, String zone, boolean spot, FreeCapacity free) {
        this.machine = machine;
        this.agentEpoch = agentEpoch;
        this.type = type;
        this.zone = zone;
        this.spot = spot;
        this.free = free;
        this.remaining = free.copy();
    }
}

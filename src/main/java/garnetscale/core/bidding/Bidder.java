package garnetscale.core.bidding;

import garnetscale.core.machine.FreeCapacity;
import garnetscale.core.machine.MachineType;
import garnetscale.core.state.JobView;
import java.util.Map;

/** A machine that may bid, and how far it has bid in the batch that {@link Bidding} makes. */
public final class Bidder {

    final String machine;
    final long agentEpoch;
    final MachineType type;
    final String zone;
    final boolean spot;
    /** What is free on the machine before it bids; it isn't altered. */
    final FreeCapacity free;
    /** What its bids leave of that. */
    final FreeCapacity unbid;

    /** The bidders that have the same queue. */
    BidderGroup group;
    /** Images on the machine by name, with their sizes. */
    Map<String, Double> images;
    /** How much longer than expected the machine takes. */
    double speedFactor;
    /** Jobs that it has bid for. */
    int jobs;
    /** The last of them, or null. */
    JobView lastJob;

    /** Creates a bidder with the given free capacity, which it keeps. */
    public Bidder(String machine, long agentEpoch, MachineType type, String zone, boolean spot, FreeCapacity free) {
        this.machine = machine;
        this.agentEpoch = agentEpoch;
        this.type = type;
        this.zone = zone;
        this.spot = spot;
        this.free = free;
        this.unbid = free.copy();
    }
}

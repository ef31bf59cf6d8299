package garnetscale.core.bidding;

import com.google.common.collect.ArrayListMultimap;
import com.google.common.collect.ListMultimap;
import garnetscale.core.cluster.PartitionLease;
import garnetscale.core.state.JobView;
import garnetscale.core.state.StateReplica;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Collects the bids that partition owners send to the leader, and decides when each job's bid window closes (paper, DSP step 4).
 * A window closes when its time is over. It closes early when, for every owned partition, the owner has sent a batch that was
 * made from a replica with the current version of the job: no better bid can then come from a machine that has capacity now.
 */
public final class Auction {

    private final StateReplica replica;
    private final long windowMs;
    private final Map<String, BidBatch> batchesByOwner = new HashMap<>();
    private final Map<String, Long> openSinceByJob = new HashMap<>();
    private final ListMultimap<String, Bid> bidsByJob = ArrayListMultimap.create();
    /** Whether a batch arrived since {@link #bidsByJob} was built. It is rebuilt on the next read, not for each batch. */
    private boolean isBidsByJobStale;

    /** Creates an auction without bids; {@code windowMs} is the longest time that a job's window stays open, in milliseconds. */
    public Auction(StateReplica replica, long windowMs) {
        this.replica = replica;
        this.windowMs = windowMs;
    }

    /** Drops all bids and windows, as when the leader begins another term. */
    public void clear() {
        batchesByOwner.clear();
        openSinceByJob.clear();
        isBidsByJobStale = true;
    }

    /**
     * Replaces the owner's earlier batch, and opens a window for each job that has none. A batch is ignored if the same process
     * of the owner has already sent one of a newer revision.
     */
    public void onBatch(long now, BidBatch batch) {
        BidBatch previous = batchesByOwner.get(batch.node());
        if (previous != null
                && previous.incarnation() == batch.incarnation()
                && previous.revision() > batch.revision()) {
            return;
        }
        batchesByOwner.put(batch.node(), batch);
        isBidsByJobStale = true;
        String job = "";
        for (Bid bid : batch.bids()) {
            if (!bid.job().equals(job)) {
                job = bid.job();
                openSinceByJob.putIfAbsent(job, now);
            }
        }
    }

    /** Drops the batches of owners that no longer hold any of the partitions for which they were submitted. */
    public void dropFormerOwners() {
        isBidsByJobStale |= batchesByOwner.values().removeIf(this::isOfFormerOwner);
    }

    private boolean isOfFormerOwner(BidBatch batch) {
        for (Map.Entry<String, Long> term : batch.terms().entrySet()) {
            PartitionLease lease = replica.partition(term.getKey());
            if (lease == null || lease.term() <= term.getValue()) {
                return false;
            }
        }
        return true;
    }

    private ListMultimap<String, Bid> bidsByJob() {
        if (isBidsByJobStale) {
            isBidsByJobStale = false;
            bidsByJob.clear();
            for (BidBatch batch : batchesByOwner.values()) {
                String job = "";
                List<Bid> bidsForJob = List.of();
                for (Bid bid : batch.bids()) {
                    // A job's bids are adjacent in a batch.
                    if (!bid.job().equals(job)) {
                        job = bid.job();
                        bidsForJob = bidsByJob.get(job);
                    }
                    bidsForJob.add(bid);
                }
            }
            openSinceByJob.keySet().retainAll(bidsByJob.keySet());
        }
        return bidsByJob;
    }

    /** Returns whether the job's window is closed, so that its bids may be awarded; false for a job without bids. */
    public boolean isWindowClosed(long now, JobView job) {
        bidsByJob();
        Long since = openSinceByJob.get(job.spec().id());
        return since != null && (now - since >= windowMs || haveAllPartitionsBid(job));
    }

    private boolean haveAllPartitionsBid(JobView job) {
        int partitionsWithBids = 0;
        for (BidBatch batch : batchesByOwner.values()) {
            if (batch.revision() >= job.modRevision()) {
                for (Map.Entry<String, Long> entry : batch.terms().entrySet()) {
                    partitionsWithBids += isCurrent(batch, entry.getKey(), entry.getValue()) ? 1 : 0;
                }
            }
        }
        return partitionsWithBids == replica.partitionCount();
    }

    private boolean isCurrent(BidBatch batch, String partition, long term) {
        PartitionLease lease = replica.partition(partition);
        return lease != null && lease.term() == term && lease.incarnation() == batch.incarnation();
    }

    /** Returns whether the partition's owner has submitted a batch under the partition's current term. */
    public boolean hasCurrentBatch(String partition) {
        PartitionLease lease = replica.partition(partition);
        BidBatch batch = lease == null ? null : batchesByOwner.get(lease.owner());
        Long term = batch == null ? null : batch.terms().get(partition);
        return term != null && isCurrent(batch, partition, term);
    }

    /** Returns the bids for a job, grouped by owner in no fixed order; a live list that must not be modified. */
    public List<Bid> bids(String job) {
        return bidsByJob().get(job);
    }

    /** Returns the accepted bid for a job with the earliest estimated finish, or null if no bid is accepted. */
    public Bid best(String job, Predicate<Bid> isAccepted) {
        Bid best = null;
        for (Bid bid : bids(job)) {
            if ((best == null || bid.finishS() < best.finishS()) && isAccepted.test(bid)) {
                best = bid;
            }
        }
        return best;
    }

    /** Returns the milliseconds until the next window closes by time, or -1 if no window has time left. */
    public long msUntilNextClose(long now) {
        bidsByJob();
        long next = -1;
        for (long since : openSinceByJob.values()) {
            long remaining = since + windowMs - now;
            if (remaining > 0 && (next < 0 || remaining < next)) {
                next = remaining;
            }
        }
        return next;
    }
}

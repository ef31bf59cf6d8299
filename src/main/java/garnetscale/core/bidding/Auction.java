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
 * The bids that the leader has, and when each job's window closes (paper, DSP step 4): once its time is over, or early when
 * every owned partition has bid with the job in sight, since then no better bid can come from a machine that has capacity now.
 */
public final class Auction {

    private final StateReplica replica;
    private final long windowMs;
    private final Map<String, BidBatch> batchesByOwner = new HashMap<>();
    private final Map<String, Long> openSinceByJob = new HashMap<>();
    private final ListMultimap<String, Bid> bidsByJob = ArrayListMultimap.create();
    /** A batch came since the bids were last grouped by job: that is done on the next read, not for each batch. */
    private boolean isStale;

    /** Creates an auction without bids in which a job's window is open for so long. */
    public Auction(StateReplica replica, long windowMs) {
        this.replica = replica;
        this.windowMs = windowMs;
    }

    /** Drops all bids and windows, as when another term of the leader begins. */
    public void clear() {
        batchesByOwner.clear();
        openSinceByJob.clear();
        isStale = true;
    }

    /** Replaces the owner's earlier batch, unless that is of a newer revision, and opens windows of jobs that have none. */
    public void onBatch(long now, BidBatch batch) {
        BidBatch previous = batchesByOwner.get(batch.node());
        if (previous != null
                && previous.incarnation() == batch.incarnation()
                && previous.revision() > batch.revision()) {
            return;
        }
        batchesByOwner.put(batch.node(), batch);
        isStale = true;
        String job = "";
        for (Bid bid : batch.bids()) {
            if (!bid.job().equals(job)) {
                job = bid.job();
                openSinceByJob.putIfAbsent(job, now);
            }
        }
    }

    private ListMultimap<String, Bid> bidsByJob() {
        if (isStale) {
            isStale = false;
            bidsByJob.clear();
            for (BidBatch batch : batchesByOwner.values()) {
                String job = "";
                List<Bid> bidsForJob = List.of();
                for (Bid bid : batch.bids()) {
                    // A job's bids stand together in a batch.
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

    /** Whether the job's window is closed, so that its bids may be awarded; false for a job without bids. */
    public boolean isWindowClosed(long now, JobView job) {
        bidsByJob();
        Long since = openSinceByJob.get(job.spec().id());
        return since != null && (now - since >= windowMs || haveAllBid(job));
    }

    private boolean haveAllBid(JobView job) {
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

    /** Whether the partition's owner has submitted a batch under the partition's present term. */
    public boolean hasCurrentBatch(String partition) {
        PartitionLease lease = replica.partition(partition);
        BidBatch batch = lease == null ? null : batchesByOwner.get(lease.owner());
        Long term = batch == null ? null : batch.terms().get(partition);
        return term != null && isCurrent(batch, partition, term);
    }

    /** Bids for a job, owner by owner in no fixed order; a live list, not to be altered. */
    public List<Bid> bids(String job) {
        return bidsByJob().get(job);
    }

    /** The bid for a job with the earliest finish among those that pass, or null if none does. */
    public Bid best(String job, Predicate<Bid> passes) {
        Bid best = null;
        for (Bid bid : bids(job)) {
            if ((best == null || bid.finishS() < best.finishS()) && passes.test(bid)) {
                best = bid;
            }
        }
        return best;
    }

    /** Milliseconds until the next open window ends, or -1 if none is open. */
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

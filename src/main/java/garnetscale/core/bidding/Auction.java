package garnetscale.core.bidding;

import com.google.common.collect.ArrayListMultimap;
import com.google.common.collect.ListMultimap;
import garnetscale.core.partition.PartitionLease;
import garnetscale.core.state.JobView;
import garnetscale.core.state.StateReplica;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * The bids that the leader has, and when each job's window closes: once it is over, or early when every held
 * block has bid with the job in sight, since then no better bid can come from a machine that has room now.
 */
public final class Auction {

    private final StateReplica replica;
    private final long windowMs;
    private final Map<String, BidBatch> batches = new HashMap<>();
    private final Map<String, Long> openSince = new HashMap<>();
    private final ListMultimap<String, Bid> byJob = ArrayListMultimap.create();
    /** A batch came since the bids were last put together: that is done when somebody asks, not for each batch. */
    private boolean stale;

    public Auction(StateReplica replica, long windowMs) {
        this.replica = replica;
        this.windowMs = windowMs;
    }

    public void clear() {
        batches.clear();
        openSince.clear();
        stale = true;
    }

    public void onBatch(long now, BidBatch batch) {
        BidBatch before = batches.get(batch.node());
        if (before != null && before.incarnation() == batch.incarnation() && before.revision() > batch.revision()) {
            return;
        }
        batches.put(batch.node(), batch);
        stale = true;
        String job = "";
        for (Bid b : batch.bids()) {
            if (!b.job().equals(job)) {
                job = b.job();
                openSince.putIfAbsent(job, now);
            }
        }
    }

    private ListMultimap<String, Bid> byJob() {
        if (stale) {
            stale = false;
            byJob.clear();
            for (BidBatch s : batches.values()) {
                String job = "";
                List<Bid> of = List.of();
                for (Bid b : s.bids()) {
                    // A job's bids stand together in a batch.
                    if (!b.job().equals(job)) {
                        job = b.job();
                        of = byJob.get(job);
                    }
                    of.add(b);
                }
            }
            openSince.keySet().retainAll(byJob.keySet());
        }
        return byJob;
    }

    /** Whether the job's bids may be judged now. */
    public boolean closed(long now, JobView job) {
        byJob();
        Long since = openSince.get(job.spec().id());
        return since != null && (now - since >= windowMs || allHaveBid(job));
    }

    private boolean allHaveBid(JobView job) {
        int speaking = 0;
        for (BidBatch s : batches.values()) {
            if (s.revision() >= job.modRevision()) {
                for (Map.Entry<String, Long> e : s.terms().entrySet()) {
                    speaking += isCurrent(s, e.getKey(), e.getValue()) ? 1 : 0;
                }
            }
        }
        return speaking == replica.partitionCount();
    }

    private boolean isCurrent(BidBatch batch, String partition, long term) {
        PartitionLease lease = replica.partition(partition);
        return lease != null && lease.term() == term && lease.incarnation() == batch.incarnation();
    }

    /** Whether the node that speaks for the block has bid under its present term. */
    public boolean speaksFor(String partition) {
        PartitionLease lease = replica.partition(partition);
        BidBatch s = lease == null ? null : batches.get(lease.owner());
        Long term = s == null ? null : s.terms().get(partition);
        return term != null && isCurrent(s, partition, term);
    }

    /** Bids for a job, in no order. */
    public List<Bid> bids(String job) {
        return byJob().get(job);
    }

    /** The bid for a job with the earliest finish among those that pass, or null. */
    public Bid best(String job, Predicate<Bid> passes) {
        Bid best = null;
        for (Bid b : bids(job)) {
            if ((best == null || b.finishS() < best.finishS()) && passes.test(b)) {
                best = b;
            }
        }
        return best;
    }

    /** Milliseconds until the next open window ends, or -1. */
    public long nextClose(long now) {
        byJob();
        long next = -1;
        for (long since : openSince.values()) {
            long left = since + windowMs - now;
            if (left > 0 && (next < 0 || left < next)) {
                next = left;
            }
        }
        return next;
    }
}

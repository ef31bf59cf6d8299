package garnetscale.core.leader;

import garnetscale.core.balance.LoadSnapshot;
import garnetscale.core.balance.SpreadOrder;
import garnetscale.core.bidding.Auction;
import garnetscale.core.bidding.Bid;
import garnetscale.core.job.JobSpec;
import garnetscale.core.machine.MachineType;
import garnetscale.core.queue.JobQueue;
import garnetscale.core.state.StateReplica;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Ranks the usable bids for a job, best first. A new instance is created for each scheduling cycle. */
final class BidRanking {

    /** Bits of a sort key for the bid's index. From the lowest bits up, a key holds the index, the finish, and the rank. */
    private static final int INDEX_BITS = 22;

    /**
     * Bits of a sort key for the bid's finish in tenths of a second. Finishes beyond the maximum, about 7 hours, are capped.
     */
    private static final int FINISH_BITS = 18;

    /** A usable bid, and the machine that it is for. */
    record Candidate(MachineState machine, Bid bid) {}

    private final StateReplica replica;
    private final Auction auction;
    private final Map<String, MachineState> machines;
    private final LoadSnapshot load;
    private final long now;
    /**
     * Whether the owner of a partition bids, by partition. Looked up once per cycle, because there are thousands of bids but
     * only a handful of partitions.
     */
    private final Map<String, Boolean> ownerBids = new HashMap<>();

    BidRanking(LeaderContext context, LoadSnapshot load, long now) {
        this.replica = context.replica();
        this.auction = context.auction();
        this.machines = context.machines();
        this.load = load;
        this.now = now;
    }

    /**
     * Returns the usable bids for the job, sorted by their estimated finish. Bids whose finish rounds to the same second count
     * as equal, because estimates are no more accurate than that. Among these, spot machines come first: a job that finishes no
     * later on a spot machine leaves regular machines to jobs that would.
     */
    List<Candidate> ranked(JobSpec job) {
        List<Candidate> usable = usable(job);
        long[] keys = new long[usable.size()];
        for (int i = 0; i < keys.length; i++) {
            Candidate candidate = usable.get(i);
            long tenths =
                    Math.min((1 << FINISH_BITS) - 1, Math.round(candidate.bid().finishS() * 10));
            keys[i] = (rank(candidate) << FINISH_BITS | tenths) << INDEX_BITS | i;
        }
        Arrays.sort(keys);
        List<Candidate> ranked = new ArrayList<>(keys.length);
        for (long key : keys) {
            ranked.add(usable.get((int) (key & (1 << INDEX_BITS) - 1)));
        }
        return load.groups().size() < 2 ? ranked : spread(ranked, job);
    }

    private List<Candidate> usable(JobSpec job) {
        List<Candidate> usable = new ArrayList<>();
        for (Bid bid : auction.bids(job.id())) {
            MachineState machine = machines.get(bid.machine());
            if (isUsable(machine, bid) && allows(machine, job)) {
                usable.add(new Candidate(machine, bid));
            }
        }
        return usable;
    }

    /** Orders bids of equal rank by the load of their machine groups. */
    private List<Candidate> spread(List<Candidate> ranked, JobSpec job) {
        return new SpreadOrder(load)
                .spread(
                        ranked,
                        candidate -> rank(candidate),
                        candidate -> LoadObserver.groupOf(candidate.machine()),
                        candidate -> candidate.bid().slots() * job.cpus());
    }

    /**
     * Returns the rank of a bid, which is the same for bids that count as equal: by finish rounded to seconds, with spot
     * machines before others.
     */
    private static long rank(Candidate candidate) {
        return 2 * Math.round(candidate.bid().finishS())
                + (candidate.machine().status.spot() ? 0 : 1);
    }

    private boolean isUsable(MachineState machine, Bid bid) {
        return machine != null
                && machine.acceptsTasks(now)
                && machine.status.agentEpoch() == bid.agentEpoch()
                && replica.type(machine.status.type()) != null
                && ownerBids.computeIfAbsent(machine.status.partition(), auction::hasCurrentBatch);
    }

    private boolean allows(MachineState machine, JobSpec job) {
        MachineType type = replica.type(machine.status.type());
        return JobQueue.allows(type, machine.status.zone(), machine.status.spot(), job);
    }
}

package garnetscale.core.leader;

import com.google.common.collect.HashMultiset;
import com.google.common.collect.Multiset;
import garnetscale.core.balance.LoadSnapshot;
import garnetscale.core.balance.SpreadOrder;
import garnetscale.core.bidding.Auction;
import garnetscale.core.bidding.Bid;
import garnetscale.core.job.JobSpec;
import garnetscale.core.job.Priority;
import garnetscale.core.job.TaskId;
import garnetscale.core.machine.FreeCapacity;
import garnetscale.core.machine.MachineType;
import garnetscale.core.machine.Placement;
import garnetscale.core.queue.JobOrder;
import garnetscale.core.queue.JobQueue;
import garnetscale.core.state.FreeCapacityCache;
import garnetscale.core.state.JobView;
import garnetscale.core.state.StateReplica;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Gives waiting tasks to the best bids, jobs in line order. Every restriction is checked again here against the
 * draft, whatever a bid says: a bid is an offer as of an older revision.
 */
final class TaskPlacer {

    private static final int PLACE_BITS = 22;
    private static final int TENTHS_BITS = 18;

    private final StateReplica replica;
    private final Auction auction;
    private final Map<String, MachineState> machines;
    private final int perMachine;
    private final JobOrder order;
    private final HeadroomReserve reserve;
    private final FreeCapacityCache counted;
    private final LoadSnapshot load;
    private final Map<String, FreeCapacity> capacities = new HashMap<>();
    /** Whether the block's holder has bid, asked once a draft: there are thousands of bids and a handful of blocks. */
    private final Map<String, Boolean> spokenFor = new HashMap<>();
    /** Tasks of a job by zone, for jobs that are bound by where their other tasks are. */
    private final Map<String, Multiset<String>> zonesOfJob = new HashMap<>();

    TaskPlacer(
            StateReplica replica,
            Auction auction,
            Map<String, MachineState> machines,
            int perMachine,
            JobOrder order,
            HeadroomReserve reserve,
            FreeCapacityCache counted,
            LoadSnapshot load) {
        this.counted = counted;
        this.load = load;
        this.replica = replica;
        this.auction = auction;
        this.machines = machines;
        this.perMachine = perMachine;
        this.order = order;
        this.reserve = reserve;
    }

    /** Adds awards to the draft; returns how many. */
    int award(long now, long wallMs, TransactionDraft draft, FailureTracker failures, LongSupplier attempts) {
        int awarded = 0;
        reserve.observe(now, replica.jobs());
        double free = 0;
        double fleet = 0;
        for (MachineState m : machines.values()) {
            MachineType type = replica.type(m.last.type());
            if (!m.last.silent() && m.last.evictionNoticeS() == null && type != null) {
                free += draft.changes(m.id)
                        ? room(draft, m).cpus()
                        : counted.of(m.id, type).cpus();
                fleet += type.cpus();
            }
        }
        List<JobView> waiting = JobQueue.sort(replica.jobs(), order, wallMs);
        for (JobView job : waiting) {
            boolean borrowed = borrowed(draft, job);
            double kept = reserve.cpus(fleet, borrowed);
            boolean reserved = free - job.spec().cpus() < kept && reserve.binds(job, borrowed, wallMs);
            int may = failures.mayPlace(now, job.spec().id(), job.placedCount());
            if (may == 0
                    || !auction.closed(now, job)
                    || reserved
                    || !draft.quota().allows(job.spec())) {
                continue;
            }
            int next = next(now, job, 0, failures);
            for (Candidate c : ranked(now, job.spec())) {
                if (next < 0 || !draft.quota().allows(job.spec())) {
                    break;
                }
                MachineState m = c.machine();
                Bid bid = c.bid();
                FreeCapacity room = room(draft, m);
                for (int i = 0; i < bid.slots() && next >= 0; i++) {
                    if (free - job.spec().cpus() < kept && reserve.binds(job, borrowed, wallMs)) {
                        next = -1;
                        break;
                    }
                    if (!room.fits(job.spec())
                            || !draft.quota().allows(job.spec())
                            || !zoneAllows(draft, job, m)
                            || draft.placements(m.id).size() >= perMachine
                            || !draft.hasRoom(false)) {
                        break;
                    }
                    Placement p = new Placement(
                            new TaskId(job.spec().id(), next),
                            attempts.getAsLong(),
                            bid.agentEpoch(),
                            Placement.Stop.KEEP);
                    draft.place(m.id, replica.type(m.last.type()), m.last.zone(), p, job.spec());
                    room.take(job.spec());
                    free -= job.spec().cpus();
                    if (bound(job.spec())) {
                        zones(draft, job).add(m.last.zone());
                    }
                    awarded++;
                    next = --may > 0 ? next(now, job, next + 1, failures) : -1;
                }
            }
        }
        return awarded;
    }

    /** Whether the job is of low priority and its team beyond its guarantee, if it has one: such work waits for ever. */
    private static boolean borrowed(TransactionDraft draft, JobView job) {
        return job.spec().priority() == Priority.LOW && !draft.quota().guarantees(job.spec());
    }

    /** The first task from there on that isn't started and may be, or -1. */
    private static int next(long now, JobView job, int from, FailureTracker failures) {
        int next = job.nextUnstarted(from);
        while (next >= 0 && !failures.mayStart(now, new TaskId(job.spec().id(), next))) {
            next = job.nextUnstarted(next + 1);
        }
        return next;
    }

    private record Candidate(MachineState machine, Bid bid) {}

    /**
     * Usable bids by their finish, whole seconds alike, since estimates are no better than that. Among equals spot
     * machines go first: what costs a task nothing there leaves ordinary ones to those that would lose by it. Sorted as
     * numbers of rank, finish in tenths of a second, and place.
     */
    private List<Candidate> ranked(long now, JobSpec job) {
        List<Candidate> usable = new ArrayList<>();
        for (Bid b : auction.bids(job.id())) {
            MachineState m = machines.get(b.machine());
            if (usable(now, m, b) && allowed(m, job)) {
                usable.add(new Candidate(m, b));
            }
        }
        long[] keys = new long[usable.size()];
        for (int i = 0; i < keys.length; i++) {
            Candidate c = usable.get(i);
            long rank = rank(c);
            long tenths = Math.min((1 << TENTHS_BITS) - 1, Math.round(c.bid().finishS() * 10));
            keys[i] = (rank << TENTHS_BITS | tenths) << PLACE_BITS | i;
        }
        Arrays.sort(keys);
        List<Candidate> ranked = new ArrayList<>(keys.length);
        for (long key : keys) {
            ranked.add(usable.get((int) (key & (1 << PLACE_BITS) - 1)));
        }
        return load.groups().size() < 2 ? ranked : spread(ranked, job);
    }

    /** Orders equals by their groups' load. */
    private List<Candidate> spread(List<Candidate> ranked, JobSpec job) {
        return new SpreadOrder(load)
                .spread(
                        ranked,
                        candidate -> rank(candidate),
                        candidate -> LoadObserver.groupOf(candidate.machine()),
                        candidate -> candidate.bid().slots() * job.cpus());
    }

    /** Equal for bids that count as equal: whole seconds of the finish, spot machines before others. */
    private static long rank(Candidate candidate) {
        return 2 * Math.round(candidate.bid().finishS())
                + (candidate.machine().last.spot() ? 0 : 1);
    }

    private boolean usable(long now, MachineState m, Bid bid) {
        return m != null
                && !m.last.silent()
                && m.last.evictionNoticeS() == null
                && m.last.agentEpoch() == bid.agentEpoch()
                && now >= m.avoidUntil
                && !m.decommissioned
                && replica.type(m.last.type()) != null
                && spokenFor.computeIfAbsent(m.last.partition(), auction::speaksFor);
    }

    private boolean allowed(MachineState m, JobSpec job) {
        MachineType type = replica.type(m.last.type());
        return type.fits(job) && job.allowsZone(m.last.zone()) && (!m.last.spot() || job.spot());
    }

    private FreeCapacity room(TransactionDraft draft, MachineState m) {
        return capacities.computeIfAbsent(m.id, id -> {
            MachineType type = replica.type(m.last.type());
            if (!draft.changes(id)) {
                return counted.of(id, type).copy();
            }
            FreeCapacity room = new FreeCapacity(type);
            counted.take(room, draft.placements(id));
            return room;
        });
    }

    private static boolean bound(JobSpec job) {
        return job.zoneAffinity() || job.zoneAntiAffinity();
    }

    private boolean zoneAllows(TransactionDraft draft, JobView job, MachineState m) {
        if (!bound(job.spec())) {
            return true;
        }
        Multiset<String> zones = zones(draft, job);
        int here = zones.count(m.last.zone());
        if (job.spec().zoneAffinity() && zones.size() != here) {
            return false;
        }
        return !job.spec().zoneAntiAffinity() || here + 1 <= (job.spec().tasks() + 1) / 2;
    }

    private Multiset<String> zones(TransactionDraft draft, JobView job) {
        return zonesOfJob.computeIfAbsent(job.spec().id(), id -> {
            Multiset<String> count = HashMultiset.create();
            for (String machine : replica.placedMachines()) {
                for (Placement p : draft.placements(machine)) {
                    if (p.task().job().equals(id)) {
                        count.add(replica.placedZone(machine));
                    }
                }
            }
            return count;
        });
    }
}

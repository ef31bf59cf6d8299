package garnetscale.core.leader;

import com.google.common.collect.HashMultiset;
import com.google.common.collect.Multiset;
import garnetscale.core.balance.LoadSnapshot;
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
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Places waiting tasks with the best bids, jobs in the order of the queue; made anew for each scheduling cycle. Every restriction
 * is checked again here against the draft, whatever a bid says: a bid is an offer as of an older revision.
 */
final class TaskPlacer {

    /** Placements of one machine: this many, or more where the records of the store are large. */
    private static final int MIN_PLACEMENTS_PER_MACHINE = 8;
    /** What a stored placement may take on average. */
    private static final int BYTES_PER_PLACEMENT = 64;

    private static final int NO_TASK = -1;

    private final SchedulingCycle cycle;
    private final TransactionDraft draft;
    private final StateReplica replica;
    private final Auction auction;
    private final Map<String, MachineState> machines;
    private final JobOrder order;
    private final HeadroomReserve reserve;
    private final FailureTracker failures;
    private final FreeCapacityCache storedCapacities;
    private final BidRanking ranking;
    private final int placementsPerMachine;
    /** What is free on each machine that was looked at, by the draft. */
    private final Map<String, FreeCapacity> capacities = new HashMap<>();
    /** Tasks of a job by zone, for jobs that are bound by where their other tasks are. */
    private final Map<String, Multiset<String>> zonesOfJob = new HashMap<>();

    /** CPUs of all serving machines, and those of them that are free by the draft. */
    private double fleetCpus;

    private double freeCpus;

    TaskPlacer(LeaderContext context, HeadroomReserve reserve, LoadSnapshot load, SchedulingCycle cycle) {
        this.cycle = cycle;
        this.draft = cycle.draft();
        this.replica = context.replica();
        this.auction = context.auction();
        this.machines = context.machines();
        this.order = context.order();
        this.reserve = reserve;
        this.failures = context.failures();
        this.storedCapacities = context.capacities();
        this.ranking = new BidRanking(context, load, cycle.now());
        this.placementsPerMachine =
                Math.max(MIN_PLACEMENTS_PER_MACHINE, context.config().maxValueBytes() / BYTES_PER_PLACEMENT);
    }

    /** A waiting job while its tasks are placed. */
    private static final class WaitingTasks {
        final JobView job;
        final boolean borrows;
        /** CPUs that the job must leave free if the reserve binds it. */
        final double reservedCpus;
        /** How many more of its tasks may be placed. */
        int allowed;
        /** The next of them, or {@link #NO_TASK}. */
        int next;

        WaitingTasks(JobView job, boolean borrows, double reservedCpus, int allowed, int next) {
            this.job = job;
            this.borrows = borrows;
            this.reservedCpus = reservedCpus;
            this.allowed = allowed;
            this.next = next;
        }
    }

    /** Adds placements to the draft, numbered by {@code attempts}; returns how many. */
    int placeTasks(LongSupplier attempts) {
        reserve.observe(cycle.now(), replica.jobs());
        sumCapacities();
        int placed = 0;
        for (JobView job : JobQueue.sort(replica.jobs(), order, cycle.wallMs())) {
            placed += placeTasksOf(job, attempts);
        }
        return placed;
    }

    private void sumCapacities() {
        for (MachineState machine : machines.values()) {
            MachineType type = replica.type(machine.status.type());
            if (machine.isServing() && type != null) {
                freeCpus += draft.changes(machine.id)
                        ? room(machine).cpus()
                        : storedCapacities.of(machine.id, type).cpus();
                fleetCpus += type.cpus();
            }
        }
    }

    private int placeTasksOf(JobView job, LongSupplier attempts) {
        JobSpec spec = job.spec();
        boolean borrows = borrows(job);
        double reservedCpus = reserve.cpus(fleetCpus, borrows);
        int allowed = failures.allowedPlacements(cycle.now(), spec.id(), job.placedCount());
        if (allowed == 0
                || !auction.isWindowClosed(cycle.now(), job)
                || isHeldBack(job, borrows, reservedCpus)
                || !draft.quota().allows(spec)) {
            return 0;
        }
        WaitingTasks waiting = new WaitingTasks(job, borrows, reservedCpus, allowed, nextTask(job, 0));
        int placed = 0;
        for (BidRanking.Candidate candidate : ranking.ranked(spec)) {
            if (waiting.next == NO_TASK || !draft.quota().allows(spec)) {
                break;
            }
            placed += placeOn(waiting, candidate, attempts);
        }
        return placed;
    }

    /** Places as many tasks on the bidder as its bid has slots for, and returns how many those are. */
    private int placeOn(WaitingTasks waiting, BidRanking.Candidate candidate, LongSupplier attempts) {
        JobSpec spec = waiting.job.spec();
        MachineState machine = candidate.machine();
        Bid bid = candidate.bid();
        FreeCapacity room = room(machine);
        int placed = 0;
        while (placed < bid.slots() && waiting.next != NO_TASK) {
            if (isHeldBack(waiting.job, waiting.borrows, waiting.reservedCpus)) {
                waiting.next = NO_TASK;
                break;
            }
            if (!room.fits(spec)
                    || !draft.quota().allows(spec)
                    || !allowsZone(waiting.job, machine)
                    || draft.placements(machine.id).size() >= placementsPerMachine
                    || !draft.hasRoomForChange()) {
                break;
            }
            TaskId task = new TaskId(spec.id(), waiting.next);
            Placement placement = new Placement(task, attempts.getAsLong(), bid.agentEpoch(), Placement.Stop.KEEP);
            draft.place(machine.id, replica.type(machine.status.type()), machine.status.zone(), placement, spec);
            room.take(spec);
            freeCpus -= spec.cpus();
            if (isBoundByZone(spec)) {
                zones(waiting.job).add(machine.status.zone());
            }
            placed++;
            waiting.next = --waiting.allowed > 0 ? nextTask(waiting.job, waiting.next + 1) : NO_TASK;
        }
        return placed;
    }

    /** Whether the job is of low priority and its team beyond its guarantee, if it has one: such work waits for ever. */
    private boolean borrows(JobView job) {
        return job.spec().priority() == Priority.LOW && !draft.quota().guarantees(job.spec());
    }

    /** Whether a task of the job would take room that is reserved for others. */
    private boolean isHeldBack(JobView job, boolean borrows, double reservedCpus) {
        return freeCpus - job.spec().cpus() < reservedCpus && reserve.binds(job, borrows, cycle.wallMs());
    }

    /** The first task from there on that isn't started and may be, or {@link #NO_TASK}. */
    private int nextTask(JobView job, int from) {
        int next = job.nextUnstarted(from);
        while (next >= 0
                && !failures.mayStart(cycle.now(), new TaskId(job.spec().id(), next))) {
            next = job.nextUnstarted(next + 1);
        }
        return next < 0 ? NO_TASK : next;
    }

    private FreeCapacity room(MachineState machine) {
        return capacities.computeIfAbsent(machine.id, id -> {
            MachineType type = replica.type(machine.status.type());
            if (!draft.changes(id)) {
                return storedCapacities.of(id, type).copy();
            }
            FreeCapacity room = new FreeCapacity(type);
            storedCapacities.take(room, draft.placements(id));
            return room;
        });
    }

    private static boolean isBoundByZone(JobSpec job) {
        return job.zoneAffinity() || job.zoneAntiAffinity();
    }

    private boolean allowsZone(JobView job, MachineState machine) {
        if (!isBoundByZone(job.spec())) {
            return true;
        }
        Multiset<String> zones = zones(job);
        int here = zones.count(machine.status.zone());
        if (job.spec().zoneAffinity() && zones.size() != here) {
            return false;
        }
        return !job.spec().zoneAntiAffinity() || here + 1 <= (job.spec().tasks() + 1) / 2;
    }

    private Multiset<String> zones(JobView job) {
        return zonesOfJob.computeIfAbsent(job.spec().id(), id -> {
            Multiset<String> zones = HashMultiset.create();
            for (String machine : replica.machinesWithRecords()) {
                for (Placement placement : draft.placements(machine)) {
                    if (placement.task().job().equals(id)) {
                        zones.add(replica.zoneOfMachine(machine));
                    }
                }
            }
            return zones;
        });
    }
}

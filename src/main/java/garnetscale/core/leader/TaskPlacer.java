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
import garnetscale.core.queue.ZoneConstraints;
import garnetscale.core.state.FreeCapacityCache;
import garnetscale.core.state.JobView;
import garnetscale.core.state.StateReplica;
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Places waiting tasks on the machines with the best bids, taking jobs in queue order. A new instance is created for each
 * scheduling cycle. Every restriction on a placement is checked again here against the draft, because a bid was made for an
 * older revision of the stored state.
 */
final class TaskPlacer {

    /** Smallest limit on the placements of one machine. The limit is higher where the state service allows larger values. */
    private static final int MIN_PLACEMENTS_PER_MACHINE = 8;
    /** Bytes that a stored placement may take on average. */
    private static final int BYTES_PER_PLACEMENT = 64;

    /** Number of tasks that a job may place at a time in the headroom reserve once it is overdue. */
    private static final int MAX_OVERDUE_TASKS = 1;

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
    /** Free capacity once the draft is applied, by machine, of the machines examined so far. */
    private final Map<String, FreeCapacity> capacities = new HashMap<>();
    /** Zones of each job's placed tasks, one entry per task, by job. Only for jobs with a zone affinity or anti-affinity. */
    private final Map<String, Multiset<String>> zonesByJob = new HashMap<>();

    /** CPUs of all available machines. */
    private double fleetCpus;
    /** CPUs of all available machines that are free once the draft is applied. */
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

    /** A job whose waiting tasks are being placed. */
    private static final class WaitingTasks {
        final JobView job;
        /** Whether the job is of low priority and not within a guarantee of its team. */
        final boolean borrows;
        /** CPUs that the job must leave free if the headroom reserve applies to it. */
        final double reservedCpus;
        /** Number of further tasks of the job that may be placed. */
        int allowed;
        /** Index of the next task to place, or {@link #NO_TASK}. */
        int next;

        WaitingTasks(JobView job, boolean borrows, double reservedCpus, int allowed, int next) {
            this.job = job;
            this.borrows = borrows;
            this.reservedCpus = reservedCpus;
            this.allowed = allowed;
            this.next = next;
        }
    }

    /**
     * Adds placements to the draft.
     *
     * @param attempts supplies the number of each placement's attempt
     * @return the number of placements added
     */
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
            if (machine.isAvailable() && type != null) {
                freeCpus += draft.changes(machine.id)
                        ? freeCapacity(machine).cpus()
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
        if (reserve.isOverdue(cycle.now(), job) && isHeldBack(job, borrows, reservedCpus)) {
            reservedCpus = 0;
            allowed = Math.min(allowed, MAX_OVERDUE_TASKS);
        }
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

    /** Places tasks on the bidder, at most as many as its bid has slots for, and returns the number placed. */
    private int placeOn(WaitingTasks waiting, BidRanking.Candidate candidate, LongSupplier attempts) {
        JobSpec spec = waiting.job.spec();
        MachineState machine = candidate.machine();
        Bid bid = candidate.bid();
        FreeCapacity free = freeCapacity(machine);
        int placed = 0;
        while (placed < bid.slots() && waiting.next != NO_TASK) {
            if (isHeldBack(waiting.job, waiting.borrows, waiting.reservedCpus)) {
                waiting.next = NO_TASK;
                break;
            }
            if (!free.fits(spec)
                    || !draft.quota().allows(spec)
                    || !allowsAnotherInZone(waiting.job, machine)
                    || draft.placements(machine.id).size() >= placementsPerMachine
                    || !draft.hasRoomForChange()) {
                break;
            }
            TaskId task = new TaskId(spec.id(), waiting.next);
            Placement placement = new Placement(task, attempts.getAsLong(), bid.agentEpoch(), Placement.Stop.KEEP);
            draft.place(machine.id, replica.type(machine.status.type()), machine.status.zone(), placement, spec);
            free.take(spec);
            freeCpus -= spec.cpus();
            if (ZoneConstraints.applyTo(spec)) {
                zones(waiting.job).add(machine.status.zone());
            }
            placed++;
            waiting.next = --waiting.allowed > 0 ? nextTask(waiting.job, waiting.next + 1) : NO_TASK;
        }
        return placed;
    }

    /**
     * Returns whether the job is of low priority and not within a guarantee of its team. Such a job leaves the headroom reserve free
     * until it is overdue.
     */
    private boolean borrows(JobView job) {
        return job.spec().priority() == Priority.LOW && !draft.quota().isWithinGuarantee(job.spec());
    }

    /** Returns whether placing a task of the job would take capacity that is reserved for urgent jobs. */
    private boolean isHeldBack(JobView job, boolean borrows, double reservedCpus) {
        return freeCpus - job.spec().cpus() < reservedCpus && reserve.appliesTo(job, borrows, cycle.wallMs());
    }

    /** Returns the index of the first task at or after {@code from} that is unstarted and may start, or {@link #NO_TASK}. */
    private int nextTask(JobView job, int from) {
        int next = job.nextUnstarted(from);
        while (next >= 0
                && !failures.mayStart(cycle.now(), new TaskId(job.spec().id(), next))) {
            next = job.nextUnstarted(next + 1);
        }
        return next < 0 ? NO_TASK : next;
    }

    private FreeCapacity freeCapacity(MachineState machine) {
        return capacities.computeIfAbsent(machine.id, id -> {
            MachineType type = replica.type(machine.status.type());
            if (!draft.changes(id)) {
                return storedCapacities.of(id, type).copy();
            }
            FreeCapacity free = new FreeCapacity(type);
            storedCapacities.take(free, draft.placements(id));
            return free;
        });
    }

    /** Returns whether the job's zone constraints allow another task on the machine. */
    private boolean allowsAnotherInZone(JobView job, MachineState machine) {
        return !ZoneConstraints.applyTo(job.spec())
                || ZoneConstraints.allowAnother(job.spec(), zones(job), machine.status.zone());
    }

    private Multiset<String> zones(JobView job) {
        return zonesByJob.computeIfAbsent(job.spec().id(), id -> {
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

package garnetscale.core.balance;

import garnetscale.core.bidding.LateBids;
import garnetscale.core.job.JobSpec;
import garnetscale.core.machine.FreeCapacity;
import garnetscale.core.queue.JobQueue;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Decides which running tasks to move. A task is stopped only if the gain exceeds the disruption by the margin, and only while
 * another machine bids for it. There are two reasons to move a task:
 *
 * <ul>
 *   <li>A waiting job of higher priority can't be placed on any machine that it may run on. The task runs on such a machine, and
 *       a machine that the job may not run on bids for the task.
 *   <li>The task runs on a slow machine, and a late bid is much better ({@link LateBids}; paper, DSP step 4c).
 * </ul>
 *
 * Gain and disruption are CPU-seconds of waiting. The same input yields the same plan.
 */
public final class MovePlanner {

    /**
     * The most jobs that machines are cleared for in a pass, from the head of the queue: if none can be cleared for these, none
     * can for the jobs behind.
     */
    private static final int MAX_JOBS = 4;
    /** Tasks aren't moved to a group with a higher smoothed utilization: its free resources are likely to be needed soon. */
    private static final double MAX_UTILIZATION = 0.8;

    /** Clearances are tried cheapest first. After this many rejections in a row, the more expensive ones aren't tried. */
    private static final int MAX_CONSECUTIVE_REJECTIONS = 16;

    private static final double MILLIS_PER_S = 1000;

    /**
     * The input of the planner.
     *
     * @param now steady-clock time in milliseconds
     * @param waiting jobs that don't fit anywhere, in queue order
     * @param machines serving machines of known load; planning modifies their free capacity
     * @param bidsByJob bids for running tasks, by job id
     */
    public record Input(
            long now,
            LoadSnapshot load,
            List<WaitingJob> waiting,
            List<SourceMachine> machines,
            Map<String, List<DestinationBid>> bidsByJob) {}

    private final double margin;
    private final Input input;
    private final MoveBudget budget;
    private final AvailableBids bids;
    private final List<Move> moves = new ArrayList<>();

    private MovePlanner(double margin, Input input, MoveBudget budget) {
        this.margin = margin;
        this.input = input;
        this.budget = budget;
        this.bids = new AvailableBids(input.bidsByJob());
    }

    /** Returns the moves to make now and counts them in the budget; {@code margin} is {@link BalanceSettings#margin}. */
    public static List<Move> plan(double margin, Input input, MoveBudget budget) {
        MovePlanner planner = new MovePlanner(margin, input, budget);
        input.waiting().stream().limit(MAX_JOBS).forEach(planner::clearMachinesFor);
        input.machines().stream().filter(SourceMachine::slow).forEach(planner::moveOffSlowMachine);
        return List.copyOf(planner.moves);
    }

    // ---- machines for a waiting job

    private void clearMachinesFor(WaitingJob waiting) {
        JobSpec job = waiting.job();
        List<SourceMachine> eligible = input.machines().stream()
                .filter(machine -> isEligible(machine, job))
                .toList();
        int missing = waiting.tasks();
        List<SourceMachine> startMachines = new ArrayList<>();
        for (SourceMachine machine : eligible) {
            // Capacity that is free or becoming free goes to this job, and must not be given to the next job again.
            for (; missing > 0 && machine.free().fits(job); missing--) {
                machine.free().take(job);
                startMachines.add(machine);
            }
        }
        if (missing <= 0) {
            return;
        }
        WaitForecast forecast = new WaitForecast(job, waiting.runS(), missing);
        startMachines.forEach(forecast::addStart);
        forecast.addFreeSlots(eligible);
        int rejected = 0;
        for (MachineClearance clearance : cheapestFirst(eligible, job)) {
            if (rejected >= MAX_CONSECUTIVE_REJECTIONS) {
                return;
            }
            rejected = tryClearance(clearance, job, forecast) ? 0 : rejected + 1;
        }
    }

    private List<MachineClearance> cheapestFirst(List<SourceMachine> eligible, JobSpec job) {
        List<MachineClearance> clearances = new ArrayList<>();
        Map<String, Optional<DestinationBid>> destinations = new HashMap<>();
        for (SourceMachine machine : eligible) {
            MachineClearance clearance = clearance(machine, job, destinations);
            if (clearance != null) {
                clearances.add(clearance);
            }
        }
        clearances.sort(Comparator.comparingDouble(MachineClearance::disruptionCpuS)
                .thenComparing(clearance -> clearance.machine().machine()));
        return clearances;
    }

    private static boolean isEligible(SourceMachine machine, JobSpec job) {
        return JobQueue.allows(machine.type(), machine.group().zone(), machine.spot(), job);
    }

    /**
     * Returns the cheapest stops after which one more task of the job fits on the machine, or null if there are none.
     *
     * @param destinations cache of destinations, by the job id of the task to stop and the zone
     */
    private MachineClearance clearance(
            SourceMachine machine, JobSpec job, Map<String, Optional<DestinationBid>> destinations) {
        if (!input.load().isKnown(machine.group())) {
            return null;
        }
        List<PlannedStop> candidates = new ArrayList<>();
        for (RunningTask task : machine.tasks()) {
            if (task.job().priority().compareTo(job.priority()) > 0 && mayMove(task)) {
                destinations
                        .computeIfAbsent(
                                task.job().id() + "@" + machine.group().zone(),
                                key -> Optional.ofNullable(destination(machine, task.job(), job, List.of())))
                        .ifPresent(bid -> candidates.add(PlannedStop.delaying(task, bid)));
            }
        }
        candidates.sort(Comparator.comparingDouble(PlannedStop::disruptionCpuS)
                .thenComparing(stop -> stop.task().attempt()));
        FreeCapacity free = machine.free().copy();
        List<PlannedStop> chosen = new ArrayList<>();
        for (PlannedStop stop : candidates) {
            chosen.add(stop);
            free.release(stop.task().job());
            if (free.fits(job)) {
                return new MachineClearance(machine, chosen);
            }
        }
        return null;
    }

    private boolean mayMove(RunningTask task) {
        return task.movable()
                && !budget.isPayingBack(input.now(), task.task())
                && moves.stream().noneMatch(move -> move.attempt() == task.attempt());
    }

    /**
     * Returns the best bid for a task of the job by a machine that the waiting job may not run on, or null.
     *
     * @param reserved other stops on the same machine, with destinations that are already reserved
     */
    private DestinationBid destination(SourceMachine from, JobSpec job, JobSpec waiting, List<PlannedStop> reserved) {
        return bids.best(
                job.id(),
                bid -> isPossibleDestination(from, job, bid)
                        && !bid.allows(waiting)
                        && input.load().utilization(bid.group()) <= MAX_UTILIZATION
                        && budget.mayReceive(
                                input.now(), bid.group(), cpusTo(bid.group(), reserved), job.cpus(), input.load()));
    }

    private static double cpusTo(MachineGroup group, List<PlannedStop> stops) {
        return stops.stream()
                .filter(stop -> stop.destination().group().equals(group))
                .mapToDouble(stop -> stop.task().job().cpus())
                .sum();
    }

    /** Tasks with zone affinity or anti-affinity stay in their zone: in another zone they might not be placed. */
    private boolean isPossibleDestination(SourceMachine from, JobSpec job, DestinationBid bid) {
        boolean zoneBound = job.zoneAffinity() || job.zoneAntiAffinity();
        return input.load().isKnown(bid.machine())
                && input.load().isKnown(bid.group())
                && (!zoneBound || bid.group().zone().equals(from.group().zone()));
    }

    /**
     * Moves the tasks if the gain is sufficient and each task gets its own slot. Bids are chosen again, since the clearance may
     * count one slot for several tasks. Returns whether the tasks are moved.
     */
    private boolean tryClearance(MachineClearance cheapest, JobSpec job, WaitForecast forecast) {
        List<PlannedStop> reserved = new ArrayList<>();
        for (PlannedStop stop : cheapest.stops()) {
            DestinationBid destination =
                    destination(cheapest.machine(), stop.task().job(), job, reserved);
            if (destination == null) {
                break;
            }
            bids.reserve(destination);
            reserved.add(PlannedStop.delaying(stop.task(), destination));
        }
        MachineClearance clearance = new MachineClearance(cheapest.machine(), reserved);
        if (reserved.size() < cheapest.stops().size() || !acceptClearance(clearance, job, forecast)) {
            reserved.forEach(stop -> bids.release(stop.destination()));
            return false;
        }
        forecast.addStops(clearance.machine(), clearance.tasks(), clearance.stopS());
        reserved.forEach(stop -> clearance.machine().free().release(stop.task().job()));
        clearance.machine().free().take(job);
        return true;
    }

    private boolean acceptClearance(MachineClearance clearance, JobSpec job, WaitForecast forecast) {
        double savedWaitS = forecast.savedWaitS(clearance.machine(), clearance.tasks(), clearance.stopS());
        double gainCpuS = savedWaitS * job.cpus();
        double disruptionCpuS = clearance.disruptionCpuS();
        if (gainCpuS <= (1 + margin) * disruptionCpuS) {
            return false;
        }
        double paybackS = clearance.stopS() + disruptionCpuS / job.cpus();
        int stopCount = clearance.stops().size();
        List<Move> jointMoves = new ArrayList<>();
        for (PlannedStop stop : clearance.stops()) {
            jointMoves.add(move(clearance.machine(), stop, job.id(), gainCpuS / stopCount, paybackS));
        }
        return accept(jointMoves);
    }

    // ---- tasks on slow machines

    private void moveOffSlowMachine(SourceMachine machine) {
        if (!input.load().isKnown(machine.group())) {
            return;
        }
        for (RunningTask task : machine.tasks()) {
            DestinationBid destination = mayMove(task)
                    ? bids.best(
                            task.job().id(),
                            candidate -> isPossibleDestination(machine, task.job(), candidate) && !candidate.slow())
                    : null;
            if (destination == null) {
                continue;
            }
            double completionS = PlannedStop.completionS(task, destination);
            double savedCpuS = (task.remainingS() - completionS) * task.job().cpus();
            boolean isBetter =
                    LateBids.accepts(task.remainingS(), completionS) && task.remainingS() > (1 + margin) * completionS;
            PlannedStop stop =
                    new PlannedStop(task, destination, completionS * task.job().cpus());
            if (isBetter && accept(List.of(move(machine, stop, null, savedCpuS, completionS)))) {
                bids.reserve(destination);
            }
        }
    }

    // ---- shared by both

    private static Move move(
            SourceMachine machine, PlannedStop stop, String beneficiary, double gainCpuS, double paybackS) {
        JobSpec job = stop.task().job();
        return new Move(
                stop.task().task(),
                stop.task().attempt(),
                job.team(),
                job.cpus(),
                machine.machine(),
                machine.group(),
                stop.destination().group(),
                beneficiary,
                gainCpuS,
                stop.disruptionCpuS(),
                (long) Math.ceil(paybackS * MILLIS_PER_S));
    }

    private boolean accept(List<Move> jointMoves) {
        if (!budget.allows(input.now(), jointMoves, input.load())) {
            return false;
        }
        jointMoves.forEach(move -> budget.add(input.now(), move));
        moves.addAll(jointMoves);
        return true;
    }
}

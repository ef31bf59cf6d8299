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
 * Decides which running tasks to move. A task is stopped only where that gains more than it disrupts by the margin, and only
 * while another machine bids for it. There are two reasons:
 *
 * <ul>
 *   <li>a job of higher priority finds no room on any machine that it fits, and the task runs on one of those while a machine
 *       that the job doesn't fit bids for the task;
 *   <li>the task runs on a slow machine, and a late bid is much better (the paper's DSP 4c, by i and i0).
 * </ul>
 *
 * Gain and disruption are CPU-seconds of waiting. The same input yields the same plan.
 */
public final class MovePlanner {

    /** Jobs that room is made for in a pass, from the head of the line: where they find none, those behind won't either. */
    private static final int MOST_JOBS = 4;
    /** A group that is fuller than this on average isn't moved into: room there is about to be needed. */
    private static final double MOST_UTILIZATION = 0.8;

    /** Clearances come cheapest first: after so many in a row that don't pay, the dearer ones aren't looked at. */
    private static final int MOST_REJECTED = 16;

    private static final double MILLIS = 1000;

    /** What the planner decides from. */
    public record Input(
            long now,
            LoadSnapshot load,
            List<WaitingJob> waiting,
            List<SourceMachine> machines,
            Map<String, List<Offer>> offers) {}

    /** A task to stop, with the offer that it is stopped for and what that costs. */
    private record Stop(RunningTask task, Offer offer, double disruptionCpuS) {

        static Stop of(RunningTask task, Offer offer) {
            double delayS = Math.max(0, endsElsewhereS(task, offer) - task.remainingS());
            return new Stop(task, offer, delayS * task.job().cpus());
        }
    }

    /** What to stop on a machine so that one task more of a job fits there. */
    private record Clearance(SourceMachine machine, List<Stop> stops) {

        double disruptionCpuS() {
            return stops.stream().mapToDouble(Stop::disruptionCpuS).sum();
        }

        double stopS() {
            return stops.stream().mapToDouble(stop -> stop.task().stopS()).max().orElse(0);
        }

        List<RunningTask> tasks() {
            return stops.stream().map(Stop::task).toList();
        }
    }

    private final double margin;
    private final Input input;
    private final MoveBudget budget;
    private final OpenOffers offers;
    private final List<Move> moves = new ArrayList<>();

    private MovePlanner(double margin, Input input, MoveBudget budget) {
        this.margin = margin;
        this.input = input;
        this.budget = budget;
        this.offers = new OpenOffers(input.offers());
    }

    /** The moves to make now, counted in the budget; {@code margin} is that of {@link BalanceSettings}. */
    public static List<Move> plan(double margin, Input input, MoveBudget budget) {
        MovePlanner planner = new MovePlanner(margin, input, budget);
        input.waiting().stream().limit(MOST_JOBS).forEach(planner::makeRoom);
        input.machines().stream().filter(SourceMachine::slow).forEach(planner::leaveSlow);
        return List.copyOf(planner.moves);
    }

    // ---- room for a waiting job

    private void makeRoom(WaitingJob waiting) {
        JobSpec job = waiting.job();
        List<SourceMachine> fitting =
                input.machines().stream().filter(machine -> fits(machine, job)).toList();
        int missing = waiting.tasks();
        List<SourceMachine> starts = new ArrayList<>();
        for (SourceMachine machine : fitting) {
            // Room that is there or on its way is this job's: it isn't offered to the next one again.
            for (; missing > 0 && machine.free().fits(job); missing--) {
                machine.free().take(job);
                starts.add(machine);
            }
        }
        if (missing <= 0) {
            return;
        }
        WaitForecast forecast = new WaitForecast(job, waiting.runS(), missing);
        starts.forEach(forecast::addStart);
        forecast.addRoom(fitting);
        List<Clearance> clearances = new ArrayList<>();
        Map<String, Optional<Offer>> destinations = new HashMap<>();
        for (SourceMachine machine : fitting) {
            Clearance clearance = clearance(machine, job, destinations);
            if (clearance != null) {
                clearances.add(clearance);
            }
        }
        clearances.sort(Comparator.comparingDouble(Clearance::disruptionCpuS)
                .thenComparing(clearance -> clearance.machine().machine()));
        int rejected = 0;
        for (Clearance clearance : clearances) {
            if (rejected >= MOST_REJECTED) {
                return;
            }
            rejected = carryOut(clearance, job, forecast) ? 0 : rejected + 1;
        }
    }

    private static boolean fits(SourceMachine machine, JobSpec job) {
        return JobQueue.allows(machine.type(), machine.group().zone(), machine.spot(), job);
    }

    /** The cheapest stops that make room for one task of the job, or null where there are none. */
    private Clearance clearance(SourceMachine machine, JobSpec job, Map<String, Optional<Offer>> destinations) {
        if (!input.load().isKnown(machine.group())) {
            return null;
        }
        List<Stop> candidates = new ArrayList<>();
        for (RunningTask task : machine.tasks()) {
            if (task.job().priority().compareTo(job.priority()) > 0 && mayMove(task)) {
                destinations
                        .computeIfAbsent(
                                task.job().id() + "@" + machine.group().zone(),
                                key -> Optional.ofNullable(destination(machine, task.job(), job, List.of())))
                        .ifPresent(offer -> candidates.add(Stop.of(task, offer)));
            }
        }
        candidates.sort(Comparator.comparingDouble(Stop::disruptionCpuS)
                .thenComparing(stop -> stop.task().attempt()));
        FreeCapacity free = machine.free().copy();
        List<Stop> chosen = new ArrayList<>();
        for (Stop stop : candidates) {
            chosen.add(stop);
            free.giveBack(stop.task().job());
            if (free.fits(job)) {
                return new Clearance(machine, chosen);
            }
        }
        return null;
    }

    private boolean mayMove(RunningTask task) {
        return task.movable()
                && !budget.isPaying(input.now(), task.task())
                && moves.stream().noneMatch(move -> move.attempt() == task.attempt());
    }

    /**
     * The best offer for a task of a job from a machine that the waiting job doesn't fit, or null; {@code reserved}: stops that
     * the same room is made by, and that go somewhere, too.
     */
    private Offer destination(SourceMachine from, JobSpec job, JobSpec waiting, List<Stop> reserved) {
        return offers.best(
                job.id(),
                offer -> mayGo(from, job, offer)
                        && !offer.fits(waiting)
                        && input.load().utilization(offer.group()) <= MOST_UTILIZATION
                        && budget.hasRoomAt(
                                input.now(), offer.group(), cpusTo(offer.group(), reserved), job.cpus(), input.load()));
    }

    private static double cpusTo(MachineGroup group, List<Stop> stops) {
        return stops.stream()
                .filter(stop -> stop.offer().group().equals(group))
                .mapToDouble(stop -> stop.task().job().cpus())
                .sum();
    }

    /** Tasks that are bound by where the others of their job are stay in their zone: anywhere else they might not be placed. */
    private boolean mayGo(SourceMachine from, JobSpec job, Offer offer) {
        boolean isBound = job.zoneAffinity() || job.zoneAntiAffinity();
        return input.load().isKnown(offer.machine())
                && input.load().isKnown(offer.group())
                && (!isBound || offer.group().zone().equals(from.group().zone()));
    }

    /** Seconds until the task would be finished if it were stopped now: stop, fetch, and what of its run isn't saved. */
    private static double endsElsewhereS(RunningTask task, Offer offer) {
        return task.stopS() + Math.max(0, offer.finishS() - task.savedS());
    }

    /** Makes the moves if there is an offer for each and they are still worth it; several may have to share one offer's room. */
    private boolean carryOut(Clearance cheapest, JobSpec job, WaitForecast forecast) {
        List<Stop> reserved = new ArrayList<>();
        for (Stop stop : cheapest.stops()) {
            Offer offer = destination(cheapest.machine(), stop.task().job(), job, reserved);
            if (offer == null) {
                break;
            }
            offers.take(offer);
            reserved.add(Stop.of(stop.task(), offer));
        }
        Clearance clearance = new Clearance(cheapest.machine(), reserved);
        if (reserved.size() < cheapest.stops().size() || !accept(clearance, job, forecast)) {
            reserved.forEach(stop -> offers.giveBack(stop.offer()));
            return false;
        }
        forecast.stop(clearance.machine(), clearance.tasks(), clearance.stopS());
        reserved.forEach(stop -> clearance.machine().free().giveBack(stop.task().job()));
        clearance.machine().free().take(job);
        return true;
    }

    private boolean accept(Clearance clearance, JobSpec job, WaitForecast forecast) {
        double savedS = forecast.savedS(clearance.machine(), clearance.tasks(), clearance.stopS());
        double gain = savedS * job.cpus();
        double disruption = clearance.disruptionCpuS();
        if (gain <= (1 + margin) * disruption) {
            return false;
        }
        double paybackS = clearance.stopS() + disruption / job.cpus();
        int count = clearance.stops().size();
        List<Move> together = new ArrayList<>();
        for (Stop stop : clearance.stops()) {
            together.add(move(clearance.machine(), stop, job.id(), gain / count, paybackS));
        }
        return accept(together);
    }

    // ---- a slow machine

    private void leaveSlow(SourceMachine machine) {
        if (!input.load().isKnown(machine.group())) {
            return;
        }
        for (RunningTask task : machine.tasks()) {
            Offer offer = mayMove(task)
                    ? offers.best(
                            task.job().id(), candidate -> mayGo(machine, task.job(), candidate) && !candidate.slow())
                    : null;
            if (offer == null) {
                continue;
            }
            double elsewhereS = endsElsewhereS(task, offer);
            double savedCpuS = (task.remainingS() - elsewhereS) * task.job().cpus();
            boolean isBetter =
                    LateBids.accepts(task.remainingS(), elsewhereS) && task.remainingS() > (1 + margin) * elsewhereS;
            Stop stop = new Stop(task, offer, elsewhereS * task.job().cpus());
            if (isBetter && accept(List.of(move(machine, stop, null, savedCpuS, elsewhereS)))) {
                offers.take(offer);
            }
        }
    }

    // ---- both

    private static Move move(SourceMachine machine, Stop stop, String beneficiary, double gain, double paybackS) {
        JobSpec job = stop.task().job();
        return new Move(
                stop.task().task(),
                stop.task().attempt(),
                job.team(),
                job.cpus(),
                machine.machine(),
                machine.group(),
                stop.offer().group(),
                beneficiary,
                gain,
                stop.disruptionCpuS(),
                (long) Math.ceil(paybackS * MILLIS));
    }

    private boolean accept(List<Move> together) {
        if (!budget.allows(input.now(), together, input.load())) {
            return false;
        }
        together.forEach(move -> budget.add(input.now(), move));
        moves.addAll(together);
        return true;
    }
}

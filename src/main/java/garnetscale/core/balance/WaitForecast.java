package garnetscale.core.balance;

import garnetscale.core.job.JobSpec;
import garnetscale.core.machine.FreeCapacity;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;

/**
 * Forecasts how long a job's waiting tasks will wait: each takes the slot that is free first, and frees it after its own run.
 * Slots that other jobs would take aren't counted, so that waits are rather too short and a move's gain rather too small.
 */
final class WaitForecast {

    /** A slot for one task on a machine that is free from a time on, in seconds from now. */
    private record FreeSlot(String machine, double atS) {}

    private static final Comparator<FreeSlot> EARLIEST_FIRST =
            Comparator.comparingDouble(FreeSlot::atS).thenComparing(FreeSlot::machine);

    private final JobSpec job;
    private final double runS;
    private final int tasks;
    private List<FreeSlot> freeSlots = new ArrayList<>();

    /** {@code tasks} of the job wait, each of which will run for {@code runS} seconds. */
    WaitForecast(JobSpec job, double runS, int tasks) {
        this.job = job;
        this.runS = runS;
        this.tasks = tasks;
    }

    /** Counts the slots that become free on these machines without any move. */
    void addFreeSlots(List<SourceMachine> machines) {
        machines.forEach(machine -> freeSlots.addAll(freeSlots(machine, List.of(), 0)));
        freeSlots.sort(EARLIEST_FIRST);
    }

    /** Counts a task of the job that starts on the machine now and frees its slot after its run. */
    void addStart(SourceMachine machine) {
        freeSlots.add(new FreeSlot(machine.machine(), runS));
    }

    /** Seconds that all waiting tasks together wait less if these tasks are stopped and their resources are free after {@code stopS}. */
    double savedWaitS(SourceMachine machine, List<RunningTask> stopped, double stopS) {
        return totalS(freeSlots) - totalS(with(machine, stopped, stopS));
    }

    /** Counts these stops as made. */
    void addStops(SourceMachine machine, List<RunningTask> stopped, double stopS) {
        freeSlots = with(machine, stopped, stopS);
    }

    private List<FreeSlot> with(SourceMachine machine, List<RunningTask> stopped, double stopS) {
        List<FreeSlot> next = new ArrayList<>(freeSlots(machine, stopped, stopS));
        // Tasks take the earliest slots: later slots than there are tasks can't matter.
        int others = 0;
        for (FreeSlot slot : freeSlots) {
            if (!slot.machine().equals(machine.machine()) && others < tasks) {
                next.add(slot);
                others++;
            }
        }
        next.sort(EARLIEST_FIRST);
        return next;
    }

    private List<FreeSlot> freeSlots(SourceMachine machine, List<RunningTask> stopped, double stopS) {
        List<FreeSlot> found = new ArrayList<>();
        FreeCapacity free = machine.free().copy();
        int slots = free.slots(job);
        stopped.forEach(task -> free.release(task.job()));
        slots = addSlots(machine, free, slots, stopS, found);
        Set<RunningTask> stoppedTasks = new HashSet<>(stopped);
        List<RunningTask> byEnd = new ArrayList<>(machine.tasks());
        byEnd.sort(Comparator.comparingDouble(RunningTask::remainingS));
        for (RunningTask task : byEnd) {
            if (!stoppedTasks.contains(task)) {
                free.release(task.job());
                slots = addSlots(machine, free, slots, Math.max(stopS, task.remainingS()), found);
            }
        }
        return found;
    }

    private int addSlots(SourceMachine machine, FreeCapacity free, int before, double atS, List<FreeSlot> found) {
        int slots = free.slots(job);
        for (int i = before; i < slots; i++) {
            found.add(new FreeSlot(machine.machine(), atS));
        }
        return Math.max(before, slots);
    }

    private double totalS(List<FreeSlot> from) {
        PriorityQueue<Double> freeAtS = new PriorityQueue<>();
        from.stream().limit(tasks).forEach(slot -> freeAtS.add(slot.atS()));
        double totalS = 0;
        for (int i = 0; i < tasks && !freeAtS.isEmpty(); i++) {
            double startS = freeAtS.remove();
            totalS += startS;
            freeAtS.add(startS + runS);
        }
        return totalS;
    }
}

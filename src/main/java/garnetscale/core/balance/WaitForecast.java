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
 * Forecasts how long a job's waiting tasks will wait. Each task takes the slot that is free first, and frees it after its run.
 * Slots count even if other jobs would take them, so that waits, and with them a move's gain, tend to be underestimated.
 */
final class WaitForecast {

    /** A slot for one task on a machine; {@code atS} is when it becomes free, in seconds from now. */
    private record FreeSlot(String machine, double atS) {}

    private static final Comparator<FreeSlot> EARLIEST_FIRST =
            Comparator.comparingDouble(FreeSlot::atS).thenComparing(FreeSlot::machine);

    private final JobSpec job;
    private final double runS;
    private final int tasks;
    private List<FreeSlot> freeSlots = new ArrayList<>();

    /** Creates a forecast without slots for {@code tasks} waiting tasks of the job, each with a run of {@code runS} seconds. */
    WaitForecast(JobSpec job, double runS, int tasks) {
        this.job = job;
        this.runS = runS;
        this.tasks = tasks;
    }

    /** Adds the slots that become free on these machines without any move. */
    void addFreeSlots(List<SourceMachine> machines) {
        machines.forEach(machine -> freeSlots.addAll(freeSlots(machine, List.of(), 0)));
        freeSlots.sort(EARLIEST_FIRST);
    }

    /** Adds the slot of a task of the job that starts on the machine now and frees the slot after its run. */
    void addStart(SourceMachine machine) {
        freeSlots.add(new FreeSlot(machine.machine(), runS));
    }

    /**
     * Returns the seconds by which stopping these tasks reduces the total wait of all waiting tasks, if the stopped tasks'
     * resources are free after {@code stopS} seconds.
     */
    double savedWaitS(SourceMachine machine, List<RunningTask> stopped, double stopS) {
        return totalWaitS(freeSlots) - totalWaitS(withStops(machine, stopped, stopS));
    }

    /** Replaces the machine's slots by those that are free after these stops. */
    void addStops(SourceMachine machine, List<RunningTask> stopped, double stopS) {
        freeSlots = withStops(machine, stopped, stopS);
    }

    private List<FreeSlot> withStops(SourceMachine machine, List<RunningTask> stopped, double stopS) {
        List<FreeSlot> next = new ArrayList<>(freeSlots(machine, stopped, stopS));
        // Tasks take the earliest slots, so no more slots than there are tasks can matter.
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

    private double totalWaitS(List<FreeSlot> from) {
        PriorityQueue<Double> freeAtS = new PriorityQueue<>();
        from.stream().limit(tasks).forEach(slot -> freeAtS.add(slot.atS()));
        double totalWaitS = 0;
        for (int i = 0; i < tasks && !freeAtS.isEmpty(); i++) {
            double startS = freeAtS.remove();
            totalWaitS += startS;
            freeAtS.add(startS + runS);
        }
        return totalWaitS;
    }
}

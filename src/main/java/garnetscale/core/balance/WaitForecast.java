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
 * How long a job's waiting tasks will wait: each takes the room that comes free first, and leaves it after its own run. What
 * other jobs would take of that room isn't counted, so that waits are rather too short and a move's gain rather too small.
 */
final class WaitForecast {

    /** Room for one task on a machine, from a time on; in seconds from now. */
    private record Release(String machine, double atS) {}

    private static final Comparator<Release> EARLIEST_FIRST =
            Comparator.comparingDouble(Release::atS).thenComparing(Release::machine);

    private final JobSpec job;
    private final double runS;
    private final int tasks;
    private List<Release> releases = new ArrayList<>();

    /** {@code tasks} of the job wait, each of which will run for {@code runS} seconds. */
    WaitForecast(JobSpec job, double runS, int tasks) {
        this.job = job;
        this.runS = runS;
        this.tasks = tasks;
    }

    /** Counts the room that comes free on machines by itself. */
    void addRoom(List<SourceMachine> machines) {
        machines.forEach(machine -> releases.addAll(releases(machine, List.of(), 0)));
        releases.sort(EARLIEST_FIRST);
    }

    /** Counts a task of the job that starts on a machine now, and leaves its room after its run. */
    void addStart(SourceMachine machine) {
        releases.add(new Release(machine.machine(), runS));
    }

    /** Seconds that all waiting tasks together wait less if these are stopped, and their room is free after {@code stopS}. */
    double savedS(SourceMachine machine, List<RunningTask> stopped, double stopS) {
        return totalS(releases) - totalS(with(machine, stopped, stopS));
    }

    /** Reckons with these stops from now on. */
    void stop(SourceMachine machine, List<RunningTask> stopped, double stopS) {
        releases = with(machine, stopped, stopS);
    }

    private List<Release> with(SourceMachine machine, List<RunningTask> stopped, double stopS) {
        List<Release> next = new ArrayList<>(releases(machine, stopped, stopS));
        // Tasks take the earliest room: later releases than there are tasks can't matter.
        int others = 0;
        for (Release release : releases) {
            if (!release.machine().equals(machine.machine()) && others < tasks) {
                next.add(release);
                others++;
            }
        }
        next.sort(EARLIEST_FIRST);
        return next;
    }

    private List<Release> releases(SourceMachine machine, List<RunningTask> stopped, double stopS) {
        List<Release> found = new ArrayList<>();
        FreeCapacity free = machine.free().copy();
        int slots = free.slots(job);
        stopped.forEach(task -> free.giveBack(task.job()));
        slots = add(machine, free, slots, stopS, found);
        Set<RunningTask> terminated = new HashSet<>(stopped);
        List<RunningTask> byEnd = new ArrayList<>(machine.tasks());
        byEnd.sort(Comparator.comparingDouble(RunningTask::remainingS));
        for (RunningTask task : byEnd) {
            if (!terminated.contains(task)) {
                free.giveBack(task.job());
                slots = add(machine, free, slots, Math.max(stopS, task.remainingS()), found);
            }
        }
        return found;
    }

    private int add(SourceMachine machine, FreeCapacity free, int before, double atS, List<Release> found) {
        int slots = free.slots(job);
        for (int i = before; i < slots; i++) {
            found.add(new Release(machine.machine(), atS));
        }
        return Math.max(before, slots);
    }

    private double totalS(List<Release> from) {
        PriorityQueue<Double> free = new PriorityQueue<>();
        from.stream().limit(tasks).forEach(release -> free.add(release.atS()));
        double total = 0;
        for (int i = 0; i < tasks && !free.isEmpty(); i++) {
            double start = free.remove();
            total += start;
            free.add(start + runS);
        }
        return total;
    }
}

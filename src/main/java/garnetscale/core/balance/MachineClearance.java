package garnetscale.core.balance;

import java.util.List;

/** The tasks to stop on a machine so that one more task of a waiting job fits there. */
record MachineClearance(SourceMachine machine, List<PlannedStop> stops) {

    /** Returns the CPU-seconds by which the stops delay their tasks. */
    double disruptionCpuS() {
        return stops.stream().mapToDouble(PlannedStop::disruptionCpuS).sum();
    }

    /** Returns the seconds until all tasks have stopped. */
    double stopS() {
        return stops.stream().mapToDouble(stop -> stop.task().stopS()).max().orElse(0);
    }

    List<RunningTask> tasks() {
        return stops.stream().map(PlannedStop::task).toList();
    }
}

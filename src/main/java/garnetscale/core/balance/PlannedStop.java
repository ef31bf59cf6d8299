package garnetscale.core.balance;

/**
 * A task to stop, with the bid of the machine that it is to move to.
 *
 * @param disruptionCpuS CPU-seconds that the stop costs: the delay of the task or, if it leaves a slow machine, the stop, image
 *     fetch and run until it completes elsewhere
 */
record PlannedStop(RunningTask task, DestinationBid destination, double disruptionCpuS) {

    /** Returns a stop whose disruption is the delay of the task's completion. */
    static PlannedStop delaying(RunningTask task, DestinationBid destination) {
        double delayS = Math.max(0, completionS(task, destination) - task.remainingS());
        return new PlannedStop(task, destination, delayS * task.job().cpus());
    }

    /** Returns the seconds until the task would complete if stopped now: stop, image fetch and run from the checkpoint. */
    static double completionS(RunningTask task, DestinationBid destination) {
        return task.stopS() + Math.max(0, destination.finishS() - task.checkpointedS());
    }
}

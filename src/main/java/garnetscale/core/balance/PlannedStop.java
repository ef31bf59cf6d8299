package garnetscale.core.balance;

/**
 * A task to stop, with the bid that it is stopped for.
 *
 * @param disruptionCpuS CPU-seconds by which the stop delays the task
 */
record PlannedStop(RunningTask task, DestinationBid destination, double disruptionCpuS) {

    /** A stop whose disruption is the later completion of the task. */
    static PlannedStop delaying(RunningTask task, DestinationBid destination) {
        double delayS = Math.max(0, completionS(task, destination) - task.remainingS());
        return new PlannedStop(task, destination, delayS * task.job().cpus());
    }

    /** Seconds until the task would be complete if it were stopped now: stop, image fetch, and its run from the checkpoint. */
    static double completionS(RunningTask task, DestinationBid destination) {
        return task.stopS() + Math.max(0, destination.finishS() - task.checkpointedS());
    }
}

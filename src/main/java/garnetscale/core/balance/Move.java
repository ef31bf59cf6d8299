package garnetscale.core.balance;

import garnetscale.core.job.TaskId;

/**
 * The decision to stop a running task because it would run better on another machine. Nothing is reserved on that machine: once
 * the task's termination is proven, the task is in the queue again, and the best bid at that time wins.
 *
 * @param team the team of the task's job
 * @param cpus the task's CPUs
 * @param machine the machine on which the task is stopped
 * @param from the group of that machine
 * @param to the group of the machine that bid for the task
 * @param beneficiary the id of the waiting job that gets the freed resources, or null if the task itself completes sooner
 * @param gainCpuS CPU-seconds of waiting time that the move is expected to save
 * @param disruptionCpuS CPU-seconds that the move is expected to cost
 * @param paybackMs milliseconds until the gain exceeds the disruption
 */
public record Move(
        TaskId task,
        long attempt,
        String team,
        double cpus,
        String machine,
        MachineGroup from,
        MachineGroup to,
        String beneficiary,
        double gainCpuS,
        double disruptionCpuS,
        long paybackMs) {}

package garnetscale.core.balance;

import garnetscale.core.job.TaskId;

/**
 * The decision to stop a running task because it would run better on another machine. Nothing is reserved there: once its
 * termination is proven, the task is in the queue again, and the best bid at that time wins.
 *
 * @param team           of the task's job
 * @param cpus           that the task takes
 * @param machine        that the task is stopped on
 * @param from           that machine's group
 * @param to             the group of the machine that bid for it
 * @param beneficiary    the waiting job that gets the freed resources, or null when the task itself completes sooner
 * @param gainCpuS       CPU-seconds of waiting time that it is expected to save
 * @param disruptionCpuS CPU-seconds that it is expected to cost
 * @param paybackMs      milliseconds until the gain exceeds the disruption
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

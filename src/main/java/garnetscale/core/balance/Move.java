package garnetscale.core.balance;

import garnetscale.core.job.TaskId;

/**
 * The decision to stop a task because it would run elsewhere. Nothing is reserved there: the task waits in line again once its
 * stop is proven, and the best bid of that moment wins.
 *
 * @param team           of the task's job
 * @param cpus           that the task takes
 * @param machine        that it is stopped on
 * @param from           that machine's group
 * @param to             the group of the machine that bid for it
 * @param beneficiary    the job that gets the room, or null when the task itself is finished sooner
 * @param gainCpuS       CPU-seconds of waiting that are expected to be saved
 * @param disruptionCpuS CPU-seconds that the move is expected to cost
 * @param paybackMs      milliseconds until what was gained exceeds what was lost
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

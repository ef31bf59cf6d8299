package garnetscale.core.balance;

import garnetscale.core.machine.FreeCapacity;
import garnetscale.core.machine.MachineType;
import java.util.List;

/**
 * A serving machine of known load, with the tasks that might be moved away from it.
 *
 * @param free what is free on it, counting tasks that are being stopped as gone; a plan takes from it
 * @param slow whether its tasks take longer than estimated, by more than the usual error of estimates
 */
public record SourceMachine(
        String machine,
        MachineGroup group,
        MachineType type,
        boolean spot,
        boolean slow,
        FreeCapacity free,
        List<RunningTask> tasks) {}

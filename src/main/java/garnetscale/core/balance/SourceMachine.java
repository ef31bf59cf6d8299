package garnetscale.core.balance;

import garnetscale.core.machine.FreeCapacity;
import garnetscale.core.machine.MachineType;
import java.util.List;

/**
 * A serving machine of known load, with the tasks that might be moved away from it.
 *
 * @param slow whether the machine's tasks take longer than estimated, by more than the usual error of estimates
 * @param free free capacity, in which tasks that are being stopped count as gone; modified by planning
 */
public record SourceMachine(
        String machine,
        MachineGroup group,
        MachineType type,
        boolean spot,
        boolean slow,
        FreeCapacity free,
        List<RunningTask> tasks) {}

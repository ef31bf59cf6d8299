package garnetscale.core.balance;

import garnetscale.core.machine.FreeCapacity;
import garnetscale.core.machine.MachineType;
import java.util.List;

/**
 * A serving machine of known load, and what runs on it.
 *
 * @param free what is free on it, with the room of tasks that are being stopped
 * @param slow whether its tasks take longer than expected by more than estimates are off
 */
public record SourceMachine(
        String machine,
        MachineGroup group,
        MachineType type,
        boolean spot,
        boolean slow,
        FreeCapacity free,
        List<RunningTask> tasks) {}

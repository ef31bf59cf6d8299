package garnetscale.core.autoscaling;

import garnetscale.core.job.JobSpec;
import garnetscale.core.machine.FreeCapacity;
import garnetscale.core.machine.MachineType;
import garnetscale.core.queue.JobQueue;

/** A machine that exists, is booting or is only planned, with the resources that placements and the demand leave free on it. */
final class Capacity {

    final String id;
    final MachineType type;
    final String zone;
    final boolean spot;
    final FreeCapacity free;
    /** Whether placements or the current demand use any of the machine's resources; true for a booting instance. */
    boolean used;

    Capacity(String id, MachineType type, String zone, boolean spot, FreeCapacity free) {
        this.id = id;
        this.type = type;
        this.zone = zone;
        this.spot = spot;
        this.free = free;
    }

    boolean allows(JobSpec job) {
        return JobQueue.allows(type, zone, spot, job);
    }

    /** Returns whether fewer than {@code cpus} CPUs are free. */
    boolean isFull(double cpus) {
        return free.cpus() + MachineType.EPSILON < cpus;
    }

    /** Reserves resources for as many of {@code tasks} tasks of the job as fit, and returns that number. */
    int fill(JobSpec job, int tasks) {
        if (!allows(job)) {
            return 0;
        }
        int filled = Math.min(tasks, free.slots(job));
        free.take(job, filled);
        used |= filled > 0;
        return filled;
    }
}

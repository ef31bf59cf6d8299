package garnetscale.core.autoscaling;

import garnetscale.core.job.JobSpec;
import garnetscale.core.machine.FreeCapacity;
import garnetscale.core.machine.MachineType;
import garnetscale.core.queue.JobQueue;

/** A machine that is there, on its way, or only thought of, with the room that is left on it. */
final class Capacity {

    final String id;
    final MachineType type;
    final String zone;
    final boolean spot;
    final FreeCapacity room;
    /** Whether the demand at hand puts anything on it. */
    boolean used;

    Capacity(String id, MachineType type, String zone, boolean spot, FreeCapacity room) {
        this.id = id;
        this.type = type;
        this.zone = zone;
        this.spot = spot;
        this.room = room;
    }

    boolean allows(JobSpec job) {
        return JobQueue.allows(type, zone, spot, job);
    }

    /** Whether not even a task of so few CPUs finds room. */
    boolean isFull(double cpus) {
        return room.cpus() + MachineType.EPSILON < cpus;
    }

    /** Puts up to so many tasks on it; returns how many. */
    int fill(JobSpec job, int tasks) {
        if (!allows(job)) {
            return 0;
        }
        int n = Math.min(tasks, room.slots(job));
        room.take(job, n);
        used |= n > 0;
        return n;
    }
}

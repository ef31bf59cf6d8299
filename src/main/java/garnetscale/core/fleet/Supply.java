package garnetscale.core.fleet;

import garnetscale.core.job.JobSpec;
import garnetscale.core.machine.MachineType;
import garnetscale.core.machine.Room;

/** A machine that is there, on its way, or only thought of, with the room that is left on it. */
final class Supply {

    final String id;
    final MachineType type;
    final String zone;
    final boolean spot;
    final Room room;
    /** Whether the demand at hand puts anything on it. */
    boolean used;

    Supply(String id, MachineType type, String zone, boolean spot) {
        this.id = id;
        this.type = type;
        this.zone = zone;
        this.spot = spot;
        this.room = new Room(type);
    }

    boolean allows(JobSpec job) {
        return type.fits(job) && job.allowsZone(zone) && (!spot || job.spot());
    }

    /** Puts up to so many tasks on it; returns how many. */
    int fill(JobSpec job, int tasks) {
        if (!allows(job)) {
            return 0;
        }
        int n = Math.min(tasks, room.slots(job));
        for (int i = 0; i < n; i++) {
            room.take(job);
        }
        used |= n > 0;
        return n;
    }
}

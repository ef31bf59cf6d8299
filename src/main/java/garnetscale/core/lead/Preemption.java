package garnetscale.core.lead;

import garnetscale.core.bid.Estimator;
import garnetscale.core.job.JobSpec;
import garnetscale.core.job.TaskId;
import garnetscale.core.machine.MachineType;
import garnetscale.core.machine.Placement;
import garnetscale.core.machine.Room;
import garnetscale.core.store.JobView;
import garnetscale.core.store.Mirror;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Stops less urgent tasks for jobs that must start at once and find no room. What loses least work goes first:
 * tasks that save, then young ones; a task that is past a fifth of its time is let finish. What is being stopped
 * already counts as room on its way, so that one need isn't answered twice; and no task is stopped twice, or a full
 * fleet would start and stop the same ones over and over.
 */
final class Preemption {

    /** The part of its estimate after which a task that doesn't save is left alone. */
    private static final double YOUNG = 0.2;
    /** Stops in one transaction: this many, or more in a fleet of which they would be a smaller part than this. */
    private static final int MOST = 8;
    private static final int MOST_OF_FLEET = 16;

    private record Victim(MachineState machine, Placement placement, JobView job, double lostS) {
    }

    private final Mirror mirror;
    private final Map<String, MachineState> machines;
    private final Estimator estimator;
    private final Set<TaskId> stoppedOnce;

    Preemption(Mirror mirror, Map<String, MachineState> machines, Estimator estimator, Set<TaskId> stoppedOnce) {
        this.stoppedOnce = stoppedOnce;
        this.mirror = mirror;
        this.machines = machines;
        this.estimator = estimator;
    }

    /** Stops what makes room for up to so many tasks of the job; returns how many were stopped. */
    int makeRoom(long now, Draft draft, JobView job, int tasks) {
        JobSpec spec = job.spec();
        List<Victim> victims = new ArrayList<>();
        int coming = 0;
        for (MachineState m : machines.values()) {
            MachineType type = m.last == null ? null : mirror.type(m.last.type());
            if (type == null || m.last.silent() || m.last.noticeS() != null || now < m.avoidUntil || m.condemned || !type.fits(spec)
                || !spec.allowsZone(m.last.zone()) || m.last.spot() && !spec.spot()) {
                continue;
            }
            Room room = new Room(type);
            for (Placement p : draft.placements(m.id)) {
                JobView other = mirror.job(p.task().job());
                if (other == null) {
                    continue;
                }
                if (p.stop() == Placement.Stop.KEEP) {
                    room.take(other.spec());
                }
                if (p.stop() == Placement.Stop.KEEP && other.live() && !stoppedOnce.contains(p.task())
                    && other.spec().priority().compareTo(spec.priority()) > 0) {
                    double lost = lostS(now, m, p, other);
                    if (lost >= 0) {
                        victims.add(new Victim(m, p, other, lost * other.spec().cpus()));
                    }
                }
            }
            coming += room.slots(spec);
        }
        int missing = tasks - coming;
        victims.sort(Comparator.comparingDouble(Victim::lostS));
        int stopped = 0;
        for (Victim v : victims) {
            if (missing <= 0 || stopped >= Math.max(MOST, machines.size() / MOST_OF_FLEET) || !draft.hasRoom(false)) {
                break;
            }
            JobSpec s = v.job().spec();
            stoppedOnce.add(v.placement().task());
            draft.stop(v.machine().id, v.placement(), s.savesProgress() ? Placement.Stop.SAVE : Placement.Stop.NOW);
            missing -= Math.max(1, (int) Math.floor(s.cpus() / Math.max(0.01, spec.cpus())));
            stopped++;
        }
        return stopped;
    }

    /** Seconds of work that stopping would lose, or -1 when the task is to be left alone. */
    private double lostS(long now, MachineState m, Placement p, JobView job) {
        Long since = m.runningSince.get(p.attempt());
        double ran = since == null ? 0 : (now - since) / 1000.0;
        if (job.spec().savesProgress()) {
            return Math.min(ran, job.spec().saveS());
        }
        return ran > YOUNG * estimator.runS(job.spec(), m.id) ? -1 : ran;
    }
}

package garnetscale.core.lead;

import garnetscale.core.bid.Estimator;
import garnetscale.core.job.JobSpec;
import garnetscale.core.job.TaskId;
import garnetscale.core.line.Line;
import garnetscale.core.machine.MachineType;
import garnetscale.core.machine.Placement;
import garnetscale.core.machine.Room;
import garnetscale.core.store.JobView;
import garnetscale.core.store.Mirror;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
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

    /** A machine, with the room that what is to stay on it leaves. */
    private record Candidate(MachineState machine, MachineType type, Room room) {
    }

    private record Victim(Candidate on, Placement placement, JobView job, double lostS) {
    }

    private final Mirror mirror;
    private final Estimator estimator;
    private final Set<TaskId> stoppedOnce;
    private final Draft draft;
    private final long now;
    private final List<Candidate> candidates = new ArrayList<>();
    /** What may be stopped, for anybody; what loses least work first. */
    private final List<Victim> victims = new ArrayList<>();

    /** Looks at all machines, once for all the jobs that room is to be made for now. */
    Preemption(Mirror mirror, Iterable<MachineState> machines, Estimator estimator, Set<TaskId> stoppedOnce,
               Draft draft, long now) {
        this.stoppedOnce = stoppedOnce;
        this.mirror = mirror;
        this.estimator = estimator;
        this.draft = draft;
        this.now = now;
        for (MachineState m : machines) {
            MachineType type = m.last == null ? null : mirror.type(m.last.type());
            if (type != null && !m.last.silent() && m.last.noticeS() == null && now >= m.avoidUntil && !m.condemned) {
                lookAt(new Candidate(m, type, new Room(type)));
            }
        }
        victims.sort(Comparator.comparingDouble(Victim::lostS));
    }

    private void lookAt(Candidate c) {
        candidates.add(c);
        for (Placement p : draft.placements(c.machine().id)) {
            JobView job = mirror.job(p.task().job());
            if (job == null || p.stop() != Placement.Stop.KEEP) {
                continue;
            }
            c.room().take(job.spec());
            if (job.live() && !stoppedOnce.contains(p.task())) {
                double lost = lostS(now, c.machine(), p, job);
                if (lost >= 0) {
                    victims.add(new Victim(c, p, job, lost * job.spec().cpus()));
                }
            }
        }
    }

    /**
     * Stops what makes room for up to so many tasks of the job; returns how many were stopped. A job that needn't start at
     * once has a claim on what is borrowed only.
     */
    int makeRoom(JobView job, int tasks, boolean tight) {
        JobSpec spec = job.spec();
        int missing = tasks;
        for (Candidate c : candidates) {
            if (allows(c, spec)) {
                missing -= c.room().slots(spec);
            }
        }
        int stopped = 0;
        for (Iterator<Victim> i = victims.iterator(); i.hasNext() && missing > 0;) {
            Victim v = i.next();
            if (stopped >= Math.max(MOST, candidates.size() / MOST_OF_FLEET) || !draft.hasRoom(false)) {
                break;
            }
            JobSpec s = v.job().spec();
            if (s.priority().compareTo(spec.priority()) <= 0 || !allows(v.on(), spec) || !tight && !draft.quota().borrows(s)) {
                continue;
            }
            i.remove();
            stoppedOnce.add(v.placement().task());
            draft.stop(v.on().machine().id, v.placement(), s.savesProgress() ? Placement.Stop.SAVE : Placement.Stop.NOW);
            v.on().room().giveBack(s);
            missing -= Math.max(1, (int) Math.floor(s.cpus() / Math.max(0.01, spec.cpus())));
            stopped++;
        }
        return stopped;
    }

    private static boolean allows(Candidate c, JobSpec job) {
        return Line.allows(c.type(), c.machine().last.zone(), c.machine().last.spot(), job);
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

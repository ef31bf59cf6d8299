package garnetscale.core.leader;

import garnetscale.core.bidding.Estimator;
import garnetscale.core.job.JobSpec;
import garnetscale.core.job.Priority;
import garnetscale.core.job.TaskId;
import garnetscale.core.machine.FreeCapacity;
import garnetscale.core.machine.MachineType;
import garnetscale.core.machine.Placement;
import garnetscale.core.queue.JobQueue;
import garnetscale.core.state.JobView;
import garnetscale.core.state.StateReplica;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;

/**
 * Stops less urgent tasks for jobs that must start at once and find no room. What loses least work goes first:
 * tasks that save, then young ones; a task that is past a fifth of its time is let finish. What is being stopped
 * already counts as room on its way, so that one need isn't answered twice; and no task is stopped twice, unless it has
 * saved something new meanwhile, or a full fleet would start and stop the same ones over and over.
 */
final class Preemption {

    /** The part of its estimate after which a task that doesn't save is left alone. */
    private static final double YOUNG = 0.2;
    /** Stops in one transaction: this many, or more in a fleet of which they would be a smaller part than this. */
    private static final int MOST = 8;

    private static final int MOST_OF_FLEET = 16;

    /** A machine, with the room that what is to stay on it leaves, and what may be stopped on it, cheapest first. */
    private record Candidate(MachineState machine, MachineType type, FreeCapacity room, List<Victim> victims) {}

    private record Victim(Placement placement, JobView job, double lostS) {}

    /** What to stop on one machine so that a task more fits there, and the work that this loses. */
    private record Stops(Candidate on, List<Victim> victims, int gain, double lostS) {}

    private final StateReplica replica;
    private final Estimator estimator;
    private final Set<TaskId> stoppedOnce;
    private final TransactionDraft draft;
    private final long now;
    private final List<Candidate> candidates = new ArrayList<>();

    /** Looks at all machines, once for all the jobs that room is to be made for now. */
    Preemption(
            StateReplica replica,
            Iterable<MachineState> machines,
            Estimator estimator,
            Set<TaskId> stoppedOnce,
            TransactionDraft draft,
            long now) {
        this.stoppedOnce = stoppedOnce;
        this.replica = replica;
        this.estimator = estimator;
        this.draft = draft;
        this.now = now;
        for (MachineState m : machines) {
            MachineType type = m.last == null ? null : replica.type(m.last.type());
            if (type != null
                    && !m.last.silent()
                    && m.last.evictionNoticeS() == null
                    && now >= m.avoidUntil
                    && !m.decommissioned) {
                lookAt(new Candidate(m, type, new FreeCapacity(type), new ArrayList<>()));
            }
        }
    }

    private void lookAt(Candidate c) {
        candidates.add(c);
        for (Placement p : draft.placements(c.machine().id)) {
            JobView job = replica.job(p.task().job());
            if (job == null || p.stop() != Placement.Stop.KEEP) {
                continue;
            }
            c.room().take(job.spec());
            if (job.live() && (!stoppedOnce.contains(p.task()) || hasSaved(c.machine(), p, job))) {
                double lost = lostS(now, c.machine(), p, job);
                if (lost >= 0) {
                    c.victims().add(new Victim(p, job, lost * job.spec().cpus()));
                }
            }
        }
        c.victims().sort(Comparator.comparingDouble(Victim::lostS));
    }

    private boolean hasSaved(MachineState m, Placement p, JobView job) {
        Long since = m.runningSince.get(p.attempt());
        return since != null
                && job.spec().writesCheckpoints()
                && (now - since) / 1000.0 >= job.spec().checkpointS();
    }

    /**
     * Stops what makes room for up to so many tasks of the job; returns how many were stopped. A job that needn't start at
     * once has a claim on what is borrowed only, and where it isn't within its team's guarantee on idle work only.
     */
    int makeRoom(JobView job, int tasks, boolean tight, boolean guaranteed) {
        JobSpec spec = job.spec();
        int missing = tasks;
        for (Candidate c : candidates) {
            if (allows(c, spec)) {
                missing -= c.room().slots(spec);
            }
        }
        int stopped = 0;
        int most = Math.max(MOST, candidates.size() / MOST_OF_FLEET);
        for (boolean again = true; again && missing > 0 && stopped < most; ) {
            again = false;
            List<Stops> cheapest = new ArrayList<>();
            for (Candidate c : candidates) {
                Stops s = c.victims().isEmpty() || !allows(c, spec) ? null : cheapest(c, spec, tight, guaranteed);
                if (s != null) {
                    cheapest.add(s);
                }
            }
            cheapest.sort(Comparator.comparingDouble(s -> s.lostS() / s.gain()));
            for (Stops s : cheapest) {
                if (missing <= 0 || stopped >= most || !draft.hasRoom(false)) {
                    break;
                }
                for (Victim v : s.victims()) {
                    stop(s.on(), v);
                    stopped++;
                }
                missing -= s.gain();
                again = true;
            }
        }
        return stopped;
    }

    /**
     * The fewest of the cheapest stops that make room for a task more, or null. Counted by machine: a large task isn't
     * helped by as many small ones that are stopped on different machines.
     */
    private Stops cheapest(Candidate c, JobSpec spec, boolean tight, boolean guaranteed) {
        FreeCapacity room = c.room().copy();
        int before = room.slots(spec);
        List<Victim> chosen = new ArrayList<>();
        double lost = 0;
        for (Victim v : c.victims()) {
            JobSpec s = v.job().spec();
            boolean claim = tight || draft.quota().borrows(s) && (guaranteed || s.priority() == Priority.LOW);
            if (s.priority().compareTo(spec.priority()) <= 0 || !claim) {
                continue;
            }
            chosen.add(v);
            lost += v.lostS();
            room.giveBack(s);
            if (room.slots(spec) > before) {
                return new Stops(c, chosen, room.slots(spec) - before, lost);
            }
        }
        return null;
    }

    private void stop(Candidate on, Victim v) {
        JobSpec s = v.job().spec();
        on.victims().remove(v);
        on.room().giveBack(s);
        stoppedOnce.add(v.placement().task());
        draft.stop(
                on.machine().id, v.placement(), s.writesCheckpoints() ? Placement.Stop.CHECKPOINT : Placement.Stop.NOW);
    }

    private static boolean allows(Candidate c, JobSpec job) {
        return JobQueue.allows(
                c.type(), c.machine().last.zone(), c.machine().last.spot(), job);
    }

    /** Seconds of work that stopping would lose, or -1 when the task is to be left alone. */
    private double lostS(long now, MachineState m, Placement p, JobView job) {
        Long since = m.runningSince.get(p.attempt());
        double ran = since == null ? 0 : (now - since) / 1000.0;
        if (job.spec().writesCheckpoints()) {
            return Math.min(ran, job.spec().checkpointWriteS());
        }
        return ran > YOUNG * estimator.runS(job.spec(), m.id) ? -1 : ran;
    }
}

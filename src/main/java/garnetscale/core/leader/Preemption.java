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
 * Preempts less urgent tasks for jobs that must start at once and find no room. What loses least work goes first: tasks that write
 * checkpoints, then young ones; a task that is past a fifth of its time is let finish. What is being stopped already counts as
 * room on its way, so that one need isn't answered twice; and no task is preempted twice, unless it has written a checkpoint
 * meanwhile, or a full fleet would start and stop the same ones over and over.
 */
final class Preemption {

    /** The part of its estimate after which a task that writes no checkpoints is left alone. */
    private static final double YOUNG_SHARE = 0.2;
    /** Stops in one transaction: this many, or more in a fleet of which they would be a smaller part than one in so many. */
    private static final int MIN_STOP_LIMIT = 8;

    private static final int MACHINES_PER_STOP = 16;
    /** In place of the seconds of lost work, for a task that is to be left alone. */
    private static final double LEAVE_ALONE = -1;

    /** A machine, with the room that what is to stay on it leaves, and what may be stopped on it, cheapest first. */
    private record Candidate(MachineState machine, MachineType type, FreeCapacity room, List<Victim> victims) {}

    private record Victim(Placement placement, JobView job, double lostCpuS) {}

    /** What to stop on one machine so that at least one task more fits there, how many fit, and the work that this loses. */
    private record Stops(Candidate on, List<Victim> victims, int gain, double lostCpuS) {}

    private final StateReplica replica;
    private final Estimator estimator;
    private final Set<TaskId> preemptedTasks;
    private final SchedulingCycle cycle;
    private final TransactionDraft draft;
    private final List<Candidate> candidates = new ArrayList<>();

    /**
     * Looks at all machines, once for all the jobs that room is to be made for in the cycle.
     *
     * @param preemptedTasks tasks that were preempted before, which this adds to
     */
    Preemption(StateReplica replica, SchedulingCycle cycle, Estimator estimator, Set<TaskId> preemptedTasks) {
        this.replica = replica;
        this.cycle = cycle;
        this.draft = cycle.draft();
        this.estimator = estimator;
        this.preemptedTasks = preemptedTasks;
        for (MachineState machine : cycle.machines()) {
            MachineType type = replica.type(machine.status.type());
            if (type != null && machine.acceptsTasks(cycle.now())) {
                addCandidate(new Candidate(machine, type, new FreeCapacity(type), new ArrayList<>()));
            }
        }
    }

    private void addCandidate(Candidate candidate) {
        candidates.add(candidate);
        for (Placement placement : draft.placements(candidate.machine().id)) {
            JobView job = replica.job(placement.task().job());
            if (job == null || placement.stop() != Placement.Stop.KEEP) {
                continue;
            }
            candidate.room().take(job.spec());
            if (job.isLive()
                    && (!preemptedTasks.contains(placement.task())
                            || hasWrittenCheckpoint(candidate.machine(), placement, job))) {
                double lostS = lostS(candidate.machine(), placement, job);
                if (lostS >= 0) {
                    candidate
                            .victims()
                            .add(new Victim(placement, job, lostS * job.spec().cpus()));
                }
            }
        }
        candidate.victims().sort(Comparator.comparingDouble(Victim::lostCpuS));
    }

    private boolean hasWrittenCheckpoint(MachineState machine, Placement placement, JobView job) {
        Long since = machine.runningSince.get(placement.attempt());
        return since != null
                && job.spec().writesCheckpoints()
                && cycle.secondsSince(since) >= job.spec().checkpointS();
    }

    /**
     * Stops what makes room for up to so many tasks of the job; returns how many were stopped. A job that needn't start at
     * once has a claim on what is borrowed only, and where it isn't within its team's guarantee on work of low priority only.
     */
    int makeRoom(JobView job, int tasks, boolean isUrgent, boolean isGuaranteed) {
        JobSpec spec = job.spec();
        int missing = tasks - slots(spec);
        int stopped = 0;
        int stopLimit = Math.max(MIN_STOP_LIMIT, candidates.size() / MACHINES_PER_STOP);
        boolean hasStopped = true;
        while (hasStopped && missing > 0 && stopped < stopLimit) {
            hasStopped = false;
            for (Stops stops : cheapestFirst(spec, isUrgent, isGuaranteed)) {
                if (missing <= 0 || stopped >= stopLimit || !draft.hasRoomForChange()) {
                    break;
                }
                for (Victim victim : stops.victims()) {
                    stop(stops.on(), victim);
                    stopped++;
                }
                missing -= stops.gain();
                hasStopped = true;
            }
        }
        return stopped;
    }

    /** How many tasks of the job fit without any stop. */
    private int slots(JobSpec spec) {
        int slots = 0;
        for (Candidate candidate : candidates) {
            if (allows(candidate, spec)) {
                slots += candidate.room().slots(spec);
            }
        }
        return slots;
    }

    /** The cheapest stops on each machine, by the work that is lost for each task that then fits. */
    private List<Stops> cheapestFirst(JobSpec spec, boolean isUrgent, boolean isGuaranteed) {
        List<Stops> cheapest = new ArrayList<>();
        for (Candidate candidate : candidates) {
            Stops stops = candidate.victims().isEmpty() || !allows(candidate, spec)
                    ? null
                    : cheapest(candidate, spec, isUrgent, isGuaranteed);
            if (stops != null) {
                cheapest.add(stops);
            }
        }
        cheapest.sort(Comparator.comparingDouble(stops -> stops.lostCpuS() / stops.gain()));
        return cheapest;
    }

    /**
     * The fewest of the cheapest stops that make room for a task more, or null. Counted by machine: a large task isn't
     * helped by as many small ones that are stopped on different machines.
     */
    private Stops cheapest(Candidate candidate, JobSpec spec, boolean isUrgent, boolean isGuaranteed) {
        FreeCapacity room = candidate.room().copy();
        int slotsBefore = room.slots(spec);
        List<Victim> chosen = new ArrayList<>();
        double lostCpuS = 0;
        for (Victim victim : candidate.victims()) {
            JobSpec other = victim.job().spec();
            boolean hasClaim =
                    isUrgent || draft.quota().borrows(other) && (isGuaranteed || other.priority() == Priority.LOW);
            if (other.priority().compareTo(spec.priority()) <= 0 || !hasClaim) {
                continue;
            }
            chosen.add(victim);
            lostCpuS += victim.lostCpuS();
            room.release(other);
            if (room.slots(spec) > slotsBefore) {
                return new Stops(candidate, chosen, room.slots(spec) - slotsBefore, lostCpuS);
            }
        }
        return null;
    }

    private void stop(Candidate on, Victim victim) {
        JobSpec spec = victim.job().spec();
        on.victims().remove(victim);
        on.room().release(spec);
        preemptedTasks.add(victim.placement().task());
        draft.stop(on.machine().id, victim.placement(), spec);
    }

    private static boolean allows(Candidate candidate, JobSpec job) {
        MachineState machine = candidate.machine();
        return JobQueue.allows(candidate.type(), machine.status.zone(), machine.status.spot(), job);
    }

    /** Seconds of work that stopping would lose, or {@link #LEAVE_ALONE}. */
    private double lostS(MachineState machine, Placement placement, JobView job) {
        Long since = machine.runningSince.get(placement.attempt());
        double ranS = since == null ? 0 : cycle.secondsSince(since);
        if (job.spec().writesCheckpoints()) {
            return Math.min(ranS, job.spec().checkpointWriteS());
        }
        return ranS > YOUNG_SHARE * estimator.runTimeS(job.spec(), machine.id) ? LEAVE_ALONE : ranS;
    }
}

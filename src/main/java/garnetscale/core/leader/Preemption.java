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
 * Preempts tasks of lower priority for jobs that can't be placed because no machine has room. Tasks that lose the least work
 * are preempted first, so mostly tasks that write checkpoints and tasks that have run for a short time. A task that writes no
 * checkpoints and is past a fifth of its estimated time is left to finish.
 *
 * <p>Tasks that are already being stopped count as freed room, so that tasks aren't preempted twice for the same need. No task
 * is preempted twice unless it has written a checkpoint in the meantime. Otherwise a full fleet would start and stop the same
 * tasks over and over.
 */
final class Preemption {

    /** Share of its estimated run time after which a task that writes no checkpoints isn't preempted. */
    private static final double MAX_PREEMPTIBLE_SHARE = 0.2;
    /** Smallest limit on the stops for one job in one transaction. */
    private static final int MIN_STOP_LIMIT = 8;
    /** The limit rises to one stop per this many machines in a large fleet. */
    private static final int MACHINES_PER_STOP = 16;
    /** Returned in place of the seconds of lost work if a task must not be preempted. */
    private static final double NOT_PREEMPTIBLE = -1;

    /**
     * A machine on which tasks may be preempted.
     *
     * @param free    capacity that the tasks that aren't being stopped leave free
     * @param victims tasks that may be preempted, the one that loses the least work first
     */
    private record Candidate(MachineState machine, MachineType type, FreeCapacity free, List<Victim> victims) {}

    /**
     * A task that may be preempted.
     *
     * @param lostCpuS CPU-seconds of work that are lost if it is stopped
     */
    private record Victim(Placement placement, JobView job, double lostCpuS) {}

    /**
     * Stops on one machine that make room there for at least one more task of a job.
     *
     * @param gainedSlots number of additional tasks that fit
     * @param lostCpuS    CPU-seconds of work that the stops lose
     */
    private record Stops(Candidate candidate, List<Victim> victims, int gainedSlots, double lostCpuS) {}

    private final StateReplica replica;
    private final Estimator estimator;
    private final Set<TaskId> preemptedTasks;
    private final SchedulingCycle cycle;
    private final TransactionDraft draft;
    private final List<Candidate> candidates = new ArrayList<>();

    /**
     * Examines all machines, once for all jobs for which tasks are preempted in the cycle.
     *
     * @param preemptedTasks tasks that were preempted before; this object adds to it
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
            candidate.free().take(job.spec());
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
     * Stops tasks of lower priority to make room for waiting tasks of the job. For a job that needn't start at once, only tasks
     * that run beyond their team's guarantee are stopped; if that job is itself beyond its team's guarantee, only tasks of the
     * lowest priority among them.
     *
     * @param tasks        number of tasks of the job to make room for
     * @param isUrgent     whether the job must start at once
     * @param isGuaranteed whether the job is within its team's guarantee
     * @return the number of tasks stopped
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
                    stop(stops.candidate(), victim);
                    stopped++;
                }
                missing -= stops.gainedSlots();
                hasStopped = true;
            }
        }
        return stopped;
    }

    /** Returns how many tasks of the job fit without further stops. */
    private int slots(JobSpec spec) {
        int slots = 0;
        for (Candidate candidate : candidates) {
            if (allows(candidate, spec)) {
                slots += candidate.free().slots(spec);
            }
        }
        return slots;
    }

    /** Returns the cheapest stops on each machine, sorted by the work that they lose for each task that then fits. */
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
        cheapest.sort(Comparator.comparingDouble(stops -> stops.lostCpuS() / stops.gainedSlots()));
        return cheapest;
    }

    /**
     * Returns the machine's cheapest stops, up to the first that makes room for one more task, or null if even all of them
     * together don't. Stops are chosen machine by machine, because stopping small tasks on different machines makes no room for
     * a large one.
     */
    private Stops cheapest(Candidate candidate, JobSpec spec, boolean isUrgent, boolean isGuaranteed) {
        FreeCapacity free = candidate.free().copy();
        int slotsBefore = free.slots(spec);
        List<Victim> chosen = new ArrayList<>();
        double lostCpuS = 0;
        for (Victim victim : candidate.victims()) {
            JobSpec other = victim.job().spec();
            boolean mayPreempt =
                    isUrgent || draft.quota().borrows(other) && (isGuaranteed || other.priority() == Priority.LOW);
            if (other.priority().compareTo(spec.priority()) <= 0 || !mayPreempt) {
                continue;
            }
            chosen.add(victim);
            lostCpuS += victim.lostCpuS();
            free.release(other);
            if (free.slots(spec) > slotsBefore) {
                return new Stops(candidate, chosen, free.slots(spec) - slotsBefore, lostCpuS);
            }
        }
        return null;
    }

    private void stop(Candidate candidate, Victim victim) {
        JobSpec spec = victim.job().spec();
        candidate.victims().remove(victim);
        candidate.free().release(spec);
        preemptedTasks.add(victim.placement().task());
        draft.stop(candidate.machine().id, victim.placement(), spec);
    }

    private static boolean allows(Candidate candidate, JobSpec job) {
        MachineState machine = candidate.machine();
        return JobQueue.allows(candidate.type(), machine.status.zone(), machine.status.spot(), job);
    }

    /** Returns the seconds of work that stopping the task would lose, or {@link #NOT_PREEMPTIBLE}. */
    private double lostS(MachineState machine, Placement placement, JobView job) {
        Long since = machine.runningSince.get(placement.attempt());
        double ranS = since == null ? 0 : cycle.secondsSince(since);
        if (job.spec().writesCheckpoints()) {
            return Math.min(ranS, job.spec().checkpointWriteS());
        }
        return ranS > MAX_PREEMPTIBLE_SHARE * estimator.runTimeS(job.spec(), machine.id) ? NOT_PREEMPTIBLE : ranS;
    }
}

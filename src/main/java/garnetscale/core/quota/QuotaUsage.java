package garnetscale.core.quota;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.job.JobSpec;
import garnetscale.core.machine.MachineType;
import garnetscale.core.state.JobView;
import garnetscale.core.state.StateReplica;
import java.util.HashMap;
import java.util.Map;

/**
 * CPUs and GPUs that each team uses. A task counts from its award until its placement is freed, which takes proof that the task
 * has terminated. So it also counts while it fetches its image, writes a checkpoint or can't be reached: the limit applies to
 * tasks that may be running, not only to those that are known to run.
 */
public final class QuotaUsage {

    /** Resources that one team's placements take. */
    private static final class Usage {
        double cpus;
        double gpus;
    }

    private final Map<String, SchedulerConfig.Team> teams;
    private final Map<String, Usage> usageByTeam = new HashMap<>();

    /** Creates a usage of zero; {@code teams} are the guarantees and limits by team name. */
    public QuotaUsage(Map<String, SchedulerConfig.Team> teams) {
        this.teams = teams;
    }

    /** Returns the usage of all placements in the replica. */
    public static QuotaUsage of(SchedulerConfig config, StateReplica replica) {
        QuotaUsage usage = new QuotaUsage(config.teams());
        for (JobView job : replica.jobs()) {
            usage.add(job.spec(), job.placedCount());
        }
        return usage;
    }

    /** Adds the resources of {@code tasks} tasks of the job; a negative number subtracts them. */
    public void add(JobSpec job, int tasks) {
        Usage usage = usageByTeam.computeIfAbsent(job.team(), team -> new Usage());
        usage.cpus += tasks * job.cpus();
        usage.gpus += tasks * job.gpus();
    }

    /** Returns whether one more task of the job stays within its team's limit; false for an unknown team. */
    public boolean allows(JobSpec job) {
        SchedulerConfig.Team team = teams.get(job.team());
        if (team == null) {
            return false;
        }
        return cpus(job.team()) + job.cpus() <= team.cpusMax() + MachineType.EPSILON
                && gpus(job.team()) + job.gpus() <= team.gpusMax() + MachineType.EPSILON;
    }

    /**
     * Returns how many more tasks of the job stay within its team's limit, at most {@code tasks}; 0 for an unknown team. Takes the
     * same time for any number of tasks.
     */
    public int allowedTasks(JobSpec job, int tasks) {
        SchedulerConfig.Team team = teams.get(job.team());
        if (team == null) {
            return 0;
        }
        double byCpus = tasksWithin(team.cpusMax() - cpus(job.team()), job.cpus());
        double byGpus = tasksWithin(team.gpusMax() - gpus(job.team()), job.gpus());
        return (int) Math.min(tasks, Math.min(byCpus, byGpus));
    }

    /** Returns how many tasks fit into an amount that is left of a limit; infinite for tasks that take none of it. */
    private static double tasksWithin(double left, double perTask) {
        double available = left + MachineType.EPSILON;
        if (available < 0) {
            return 0;
        }
        return perTask > 0 ? Math.floor(available / perTask) : Double.POSITIVE_INFINITY;
    }

    /** Returns whether the job's team uses more than its guarantee, so that its tasks may be preempted for other teams. */
    public boolean borrows(JobSpec job) {
        SchedulerConfig.Team team = teams.get(job.team());
        return team != null
                && (cpus(job.team()) > team.cpus() + MachineType.EPSILON
                        || gpus(job.team()) > team.gpus() + MachineType.EPSILON);
    }

    /** Returns whether one more task of the job is within its team's guarantee; false for an unknown team. */
    public boolean isWithinGuarantee(JobSpec job) {
        SchedulerConfig.Team team = teams.get(job.team());
        return team != null
                && cpus(job.team()) + job.cpus() <= team.cpus() + MachineType.EPSILON
                && (job.gpus() == 0 || gpus(job.team()) + job.gpus() <= team.gpus() + MachineType.EPSILON);
    }

    /** Returns the CPUs that the team uses. */
    public double cpus(String team) {
        Usage usage = usageByTeam.get(team);
        return usage == null ? 0 : usage.cpus;
    }

    /** Returns the GPUs that the team uses. */
    public double gpus(String team) {
        Usage usage = usageByTeam.get(team);
        return usage == null ? 0 : usage.gpus;
    }
}

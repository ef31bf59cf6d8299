package garnetscale.core.quota;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.job.JobSpec;
import garnetscale.core.machine.MachineType;
import garnetscale.core.state.JobView;
import garnetscale.core.state.StateReplica;
import java.util.HashMap;
import java.util.Map;

/**
 * What each team uses. A task counts from its award until it is freed on proof, so also while it fetches, saves
 * or can't be reached: the limit holds for what may be running, not for what is known to run.
 */
public final class QuotaUsage {

    private final Map<String, SchedulerConfig.Team> teams;
    private final Map<String, double[]> used = new HashMap<>();

    public QuotaUsage(Map<String, SchedulerConfig.Team> teams) {
        this.teams = teams;
    }

    /** Counts every placement that the replica holds. */
    public static QuotaUsage of(SchedulerConfig config, StateReplica replica) {
        QuotaUsage usage = new QuotaUsage(config.teams());
        for (JobView job : replica.jobs()) {
            usage.add(job.spec(), job.placedCount());
        }
        return usage;
    }

    public void add(JobSpec job, int tasks) {
        double[] u = used.computeIfAbsent(job.team(), k -> new double[2]);
        u[0] += tasks * job.cpus();
        u[1] += tasks * job.gpus();
    }

    /** Whether one more task of the job stays within its team's limit. */
    public boolean allows(JobSpec job) {
        SchedulerConfig.Team team = teams.get(job.team());
        if (team == null) {
            return false;
        }
        return cpus(job.team()) + job.cpus() <= team.cpusMax() + MachineType.EPSILON
                && gpus(job.team()) + job.gpus() <= team.gpusMax() + MachineType.EPSILON;
    }

    /** Whether the job's team uses more than its guarantee, so that it has to give back what others need. */
    public boolean borrows(JobSpec job) {
        SchedulerConfig.Team team = teams.get(job.team());
        return team != null
                && (cpus(job.team()) > team.cpus() + MachineType.EPSILON
                        || gpus(job.team()) > team.gpus() + MachineType.EPSILON);
    }

    /** Whether one more task of the job is within what its team is guaranteed. */
    public boolean guarantees(JobSpec job) {
        SchedulerConfig.Team team = teams.get(job.team());
        return team != null
                && cpus(job.team()) + job.cpus() <= team.cpus() + MachineType.EPSILON
                && (job.gpus() == 0 || gpus(job.team()) + job.gpus() <= team.gpus() + MachineType.EPSILON);
    }

    public double cpus(String team) {
        double[] u = used.get(team);
        return u == null ? 0 : u[0];
    }

    public double gpus(String team) {
        double[] u = used.get(team);
        return u == null ? 0 : u[1];
    }
}
